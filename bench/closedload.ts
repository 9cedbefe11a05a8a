import {createHash} from 'node:crypto';
import {Agent} from 'undici';
import {v7 as uuidv7} from 'uuid';
import type {ConfigurationDraft} from '../src/config/index.js';
import {outputTokens} from '../stand-ins/index.js';
import {call} from './caller.js';
import {demoKey} from './deployment.js';
import {OperationKind, type History, type Operation} from './history.js';
import type {Random} from './random.js';

const MAX_ATTEMPTS = 5;
/** Pause between the requests of a caller. */
const THINK_TIME_MS = {least: 5, most: 80};
/** Delay before a retry, added to the advised delay. */
const RETRY_DELAY_MS = {least: 20, most: 200};
/** Time after which a caller gives up on a call. */
const CALLER_TIMEOUT_MS = {least: 4_000, most: 9_000};
/** The same for [[IMPATIENT_SHARE]] of the calls. */
const IMPATIENT_TIMEOUT_MS = {least: 50, most: 1_000};
const IMPATIENT_SHARE = 0.1;

/** A router to which callers send requests. */
export interface RouterEndpoint {
  router: string;
  /** Number of starts of the router before its current process. */
  process(): number;
  url(): string;
}

/** A request to be sent, perhaps several times. */
interface RequestPlan {
  kind: OperationKind;
  class: string;
  tier: number;
  workspace: string;
  /** Name of the pool that serves the request. */
  pool: string;
  path: string;
  body: unknown;
  /** Full text of the correct answer, where it is known in advance. */
  expected?: string;
  headers: Record<string, string>;
}

type ClassDraft = ConfigurationDraft['classes'][number];

/**
 * Closed-loop load of concurrent callers that send every kind of operation.
 * Requests with a key are retried, and broken streams resumed, through another
 * router. Every call is recorded in the history.
 */
export class ClosedLoad {
  private readonly agent = new Agent({pipelining: 0, connections: null});
  private readonly classes: Map<string, ClassDraft>;
  private sequence = 0;
  private ended = false;
  private readonly tasks: Array<Promise<void>> = [];

  constructor(
    private readonly document: ConfigurationDraft,
    private readonly endpoints: readonly RouterEndpoint[],
    private readonly history: History,
    private readonly random: Random,
  ) {
    this.classes = new Map(document.classes.map(item => [item.name, item]));
  }

  /** Starts `count` callers. */
  start(count: number): void {
    for (let i = 0; i < count; i++) this.tasks.push(this.runCaller());
  }

  /** Stops the callers and resolves when their last requests have ended. */
  async stop(): Promise<void> {
    this.ended = true;
    await Promise.all(this.tasks);
    await this.agent.destroy();
  }

  private async runCaller(): Promise<void> {
    while (!this.ended) {
      await this.makeRequest();
      await sleep(this.random.between(THINK_TIME_MS.least, THINK_TIME_MS.most));
    }
  }

  /** Sends one request, with retries through other routers if it has a key. */
  private async makeRequest(): Promise<void> {
    const plan = this.drawRequest();
    const key = plan.kind === OperationKind.Order ? uuidv7() : undefined;
    let endpoint = this.random.pick(this.endpoints);
    let prior = 0;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const operation = await this.send(plan, endpoint, prior, key);
      if (key === undefined) return this.resumeIfBroken(operation, plan);
      if (isSettled(operation)) return;
      if (operation.reply?.outcome !== 'not_run') prior++;
      const others = this.endpoints.filter(other => other !== endpoint);
      endpoint = this.random.pick(others.length > 0 ? others : this.endpoints);
      const advisedMs = operation.reply?.retryAfterMs ?? 0;
      await sleep(
        advisedMs +
          this.random.between(RETRY_DELAY_MS.least, RETRY_DELAY_MS.most),
      );
    }
  }

  /** Resumes a resumable stream that broke off, through another router. */
  private async resumeIfBroken(
    previous: Operation,
    plan: RequestPlan,
  ): Promise<void> {
    const {reply, expected, gaveUp} = previous;
    const token = reply?.resumeToken;
    if (gaveUp || token === undefined || reply?.outcome !== undefined) return;
    const others = this.endpoints.filter(
      ({router}) => router !== previous.router,
    );
    const lastEventId = reply?.lastEventId;
    const headers = {
      'gypsumcourse-resume-token': token,
      ...(lastEventId === undefined ? {} : {'last-event-id': lastEventId}),
    };
    const remainingText = expected?.slice(reply?.text.length) ?? '';
    const resumed: RequestPlan = {
      ...plan,
      kind: OperationKind.Resumed,
      path: '/v1/resume',
      expected: remainingText,
      headers,
    };
    await this.send(resumed, this.random.pick(others), 1, undefined);
  }

  private async send(
    plan: RequestPlan,
    endpoint: RouterEndpoint,
    prior: number,
    key: string | undefined,
  ): Promise<Operation> {
    const body = JSON.stringify(plan.body);
    const operation: Operation = {
      kind: plan.kind,
      class: plan.class,
      tier: plan.tier,
      pool: plan.pool,
      router: endpoint.router,
      process: endpoint.process(),
      prior,
      digest: createHash('sha256').update(body).digest('hex'),
      ...(key === undefined ? {} : {key}),
      ...(plan.expected === undefined ? {} : {expected: plan.expected}),
      sentAt: Date.now(),
      endedAt: 0,
      gaveUp: false,
    };
    this.history.operations.push(operation);
    const signal = AbortSignal.timeout(this.drawTimeoutMs());
    try {
      operation.reply = await call(
        {
          url: endpoint.url(),
          path: plan.path,
          key: demoKey(plan.workspace),
          headers: {...plan.headers, ...idempotencyHeaders(key, prior)},
          ...(plan.kind === OperationKind.Resumed ? {} : {body}),
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

  private drawTimeoutMs(): number {
    const {least, most} =
      this.random.next() < IMPATIENT_SHARE
        ? IMPATIENT_TIMEOUT_MS
        : CALLER_TIMEOUT_MS;
    return Math.round(this.random.between(least, most));
  }

  private drawRequest(): RequestPlan {
    const draw = this.random.next();
    if (draw < 0.3) return this.planGeneration(OperationKind.Chat);
    if (draw < 0.4) return this.planGeneration(OperationKind.Completion);
    if (draw < 0.6) return this.planServiceCall(OperationKind.Lookup);
    if (draw < 0.9) return this.planServiceCall(OperationKind.Order);
    return this.planServiceCall(OperationKind.UnkeyedOrder);
  }

  private planGeneration(kind: OperationKind): RequestPlan {
    const workspace = this.random.pick(
      this.document.workspaces.filter(item =>
        item.classes.some(name => this.isGenerationClass(name)),
      ),
    );
    const name = this.random.pick(
      workspace.classes.filter(item => this.isGenerationClass(item)),
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
      ...this.commonFields(kind, workspace.name, name),
      pool: pool?.name ?? '',
      path: '/v1/chat/completions',
      body,
      expected: outputTokens(body).join(''),
    };
  }

  private planServiceCall(kind: OperationKind): RequestPlan {
    const pool = this.document.pools.find(item => item.kind === 'service');
    const service = pool?.kind === 'service' ? pool.service : '';
    const notRepeatablePath =
      pool?.kind === 'service' ? pool.notRepeatable?.[0] : '';
    const path =
      kind === OperationKind.Lookup ? '/items' : (notRepeatablePath ?? '');
    const isEligible = (name: string) =>
      kind === OperationKind.Lookup
        ? name === 'lookup'
        : this.classes.get(name)?.repeatable === false;
    const workspace = this.random.pick(
      this.document.workspaces.filter(item => item.classes.some(isEligible)),
    );
    const name = workspace.classes.find(isEligible) ?? '';
    return {
      ...this.commonFields(kind, workspace.name, name),
      pool: pool?.name ?? '',
      path: `/services/${service}${path}`,
      body: {item: `item ${++this.sequence}`},
    };
  }

  private commonFields(kind: OperationKind, workspace: string, name: string) {
    const tier = this.classes.get(name)?.tier ?? 0;
    const headers = {
      'gypsumcourse-class': name,
      ...(kind === OperationKind.Chat
        ? {'gypsumcourse-resumable': 'true'}
        : {}),
    };
    return {kind, class: name, tier, workspace, headers};
  }

  private isGenerationClass(name: string): boolean {
    return name !== 'lookup' && this.classes.get(name)?.repeatable !== false;
  }
}

function idempotencyHeaders(key: string | undefined, prior: number) {
  const priorAttempts =
    prior > 0 ? {'gypsumcourse-prior-attempts': String(prior)} : undefined;
  return {
    ...(key === undefined ? {} : {'idempotency-key': key}),
    ...priorAttempts,
  };
}

/** Returns whether a request with a key needs no further attempt. */
function isSettled({reply}: Operation): boolean {
  return reply?.outcome === 'completed' || reply?.outcome === 'failed';
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
