import {createHash} from 'node:crypto';
import {Agent} from 'undici';
import {v7 as uuidv7} from 'uuid';
import type {ConfigurationDraft} from '../src/config/index.js';
import {outputTokens} from '../stand-ins/index.js';
import {call} from './caller.js';
import {demoKey} from './deployment.js';
import {OperationKind, type History, type Operation} from './history.js';
import type {Random} from './random.js';

const ATTEMPTS_LIMIT = 5;
const THINK_MS = {least: 5, most: 80};
const RETRY_MS = {least: 20, most: 200};
/** Time after which a caller gives up, and the same for impatient callers. */
const PATIENCE_MS = {least: 4_000, most: 9_000};
const IMPATIENCE_MS = {least: 50, most: 1_000};
const IMPATIENT_SHARE = 0.1;

/** A router as callers reach it. */
export interface RouterEndpoint {
  router: string;
  /** Number of the process behind it now. */
  process(): number;
  url(): string;
}

/** A request before it is sent. */
interface Draft {
  kind: OperationKind;
  class: string;
  tier: number;
  workspace: string;
  pool: string;
  path: string;
  body: unknown;
  expected?: string;
  headers: Record<string, string>;
}

type DraftClass = ConfigurationDraft['classes'][number];

/** Concurrent callers that send every kind of request and retry elsewhere. */
export class ClosedLoad {
  private readonly agent = new Agent({pipelining: 0, connections: null});
  private readonly classes: Map<string, DraftClass>;
  private sequence = 0;
  private ended = false;
  private readonly tasks: Array<Promise<void>> = [];

  constructor(
    private readonly document: ConfigurationDraft,
    private readonly doors: readonly RouterEndpoint[],
    private readonly history: History,
    private readonly random: Random,
  ) {
    this.classes = new Map(document.classes.map(item => [item.name, item]));
  }

  /** Starts `count` callers. */
  start(count: number): void {
    for (let index = 0; index < count; index++) this.tasks.push(this.caller());
  }

  /** Ends once every caller has its last answer or has given up. */
  async stop(): Promise<void> {
    this.ended = true;
    await Promise.all(this.tasks);
    await this.agent.destroy();
  }

  private async caller(): Promise<void> {
    while (!this.ended) {
      await this.request();
      await pause(this.random.between(THINK_MS.least, THINK_MS.most));
    }
  }

  /** Makes one request, with retries through other routers if it has a key. */
  private async request(): Promise<void> {
    const draft = this.draft();
    const key = draft.kind === OperationKind.Order ? uuidv7() : undefined;
    let door = this.random.pick(this.doors);
    let prior = 0;
    for (let attempt = 0; attempt < ATTEMPTS_LIMIT; attempt++) {
      const operation = await this.send(draft, door, prior, key);
      if (key === undefined) return this.mayResume(operation, draft);
      if (isSettled(operation)) return;
      if (operation.reply?.outcome !== 'not_run') prior++;
      const others = this.doors.filter(other => other !== door);
      door = this.random.pick(others.length > 0 ? others : this.doors);
      const advised = operation.reply?.retryAfterMs ?? 0;
      await pause(advised + this.random.between(RETRY_MS.least, RETRY_MS.most));
    }
  }

  /** Resumes a stream that broke off, through another router. */
  private async mayResume(former: Operation, draft: Draft): Promise<void> {
    const {reply, expected, gaveUp} = former;
    const token = reply?.resumeToken;
    if (gaveUp || token === undefined || reply?.outcome !== undefined) return;
    const others = this.doors.filter(({router}) => router !== former.router);
    const last = reply?.lastEventId;
    const headers = {
      'gypsumcourse-resume-token': token,
      ...(last === undefined ? {} : {'last-event-id': last}),
    };
    const rest = expected?.slice(reply?.text.length) ?? '';
    const resumed: Draft = {
      ...draft,
      kind: OperationKind.Resumed,
      path: '/v1/resume',
      expected: rest,
      headers,
    };
    await this.send(resumed, this.random.pick(others), 1, undefined);
  }

  private async send(
    draft: Draft,
    door: RouterEndpoint,
    prior: number,
    key: string | undefined,
  ): Promise<Operation> {
    const body = JSON.stringify(draft.body);
    const operation: Operation = {
      kind: draft.kind,
      class: draft.class,
      tier: draft.tier,
      pool: draft.pool,
      router: door.router,
      process: door.process(),
      prior,
      digest: createHash('sha256').update(body).digest('hex'),
      ...(key === undefined ? {} : {key}),
      ...(draft.expected === undefined ? {} : {expected: draft.expected}),
      sentAt: Date.now(),
      endedAt: 0,
      gaveUp: false,
    };
    this.history.operations.push(operation);
    const signal = AbortSignal.timeout(this.patience());
    try {
      operation.reply = await call(
        {
          url: door.url(),
          path: draft.path,
          key: demoKey(draft.workspace),
          headers: {...draft.headers, ...keyHeaders(key, prior)},
          ...(draft.kind === OperationKind.Resumed ? {} : {body}),
        },
        {dispatcher: this.agent, signal},
      );
    } catch (cause) {
      operation.lost = String(cause);
    }
    operation.gaveUp = signal.aborted;
    operation.endedAt = Date.now();
    return operation;
  }

  private patience(): number {
    const {least, most} =
      this.random.next() < IMPATIENT_SHARE ? IMPATIENCE_MS : PATIENCE_MS;
    return Math.round(this.random.between(least, most));
  }

  private draft(): Draft {
    const roll = this.random.next();
    if (roll < 0.3) return this.generation(OperationKind.Chat);
    if (roll < 0.4) return this.generation(OperationKind.Completion);
    if (roll < 0.6) return this.service(OperationKind.Lookup);
    if (roll < 0.9) return this.service(OperationKind.Order);
    return this.service(OperationKind.UnkeyedOrder);
  }

  private generation(kind: OperationKind): Draft {
    const workspace = this.random.pick(
      this.document.workspaces.filter(item =>
        item.classes.some(name => this.isGeneration(name)),
      ),
    );
    const name = this.random.pick(
      workspace.classes.filter(item => this.isGeneration(item)),
    );
    const pool = this.document.pools.find(item => item.kind === 'runner');
    const models = pool?.kind === 'runner' ? pool.models : [];
    const body = {
      model: this.random.pick(models).name,
      stream: kind === OperationKind.Chat,
      messages: [{role: 'user', content: `Question ${++this.sequence}`}],
      metadata: {
        output_tokens: String(Math.round(this.random.between(5, 200))),
      },
    };
    return {
      ...this.common(kind, workspace.name, name),
      pool: pool?.name ?? '',
      path: '/v1/chat/completions',
      body,
      expected: outputTokens(body).join(''),
    };
  }

  private service(kind: OperationKind): Draft {
    const pool = this.document.pools.find(item => item.kind === 'service');
    const service = pool?.kind === 'service' ? pool.service : '';
    const marked = pool?.kind === 'service' ? pool.notRepeatable?.[0] : '';
    const path = kind === OperationKind.Lookup ? '/items' : (marked ?? '');
    const wanted = (name: string) =>
      kind === OperationKind.Lookup
        ? name === 'lookup'
        : this.classes.get(name)?.repeatable === false;
    const workspace = this.random.pick(
      this.document.workspaces.filter(item => item.classes.some(wanted)),
    );
    const name = workspace.classes.find(wanted) ?? '';
    return {
      ...this.common(kind, workspace.name, name),
      pool: pool?.name ?? '',
      path: `/services/${service}${path}`,
      body: {item: `item ${++this.sequence}`},
    };
  }

  private common(kind: OperationKind, workspace: string, name: string) {
    const tier = this.classes.get(name)?.tier ?? 0;
    const headers = {
      'gypsumcourse-class': name,
      ...(kind === OperationKind.Chat
        ? {'gypsumcourse-resumable': 'true'}
        : {}),
    };
    return {kind, class: name, tier, workspace, headers};
  }

  private isGeneration(name: string): boolean {
    return name !== 'lookup' && this.classes.get(name)?.repeatable !== false;
  }
}

function keyHeaders(key: string | undefined, prior: number) {
  const tried =
    prior > 0 ? {'gypsumcourse-prior-attempts': String(prior)} : undefined;
  return {...(key === undefined ? {} : {'idempotency-key': key}), ...tried};
}

/** Whether a keyed request needs no other attempt. */
function isSettled({reply}: Operation): boolean {
  return reply?.outcome === 'completed' || reply?.outcome === 'failed';
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
