import {Deployment, exampleOf} from '../../bench/deployment.js';
import {AdmissionScheduler} from '../../src/admission/index.js';
import {
  documentSchema,
  type Configuration,
  type ServiceClass,
} from '../../src/config/index.js';
import {
  StandaloneMembership,
  type Membership,
} from '../../src/instance/index.js';
import type {ParsedRequest} from '../../src/request/index.js';
import type {Decision, Recorder} from '../../src/telemetry/index.js';
import {ManualTimer} from '../../src/timer/index.js';
import {Directory, type Upstream} from '../../src/upstream/index.js';
import {seededRandom} from '../../stand-ins/index.js';

/** Records decisions and link usage of requests for assertions. */
export class DecisionRecorder implements Recorder {
  readonly entries: Array<{request: string; decision: Decision}> = [];
  readonly linkUse: Array<{link: string; workspace: string; bytes: number}> =
    [];

  recordDecision(request: string, decision: Decision): void {
    this.entries.push({request, decision});
  }

  recordResult(): void {
    return;
  }

  recordWastedTokens(): void {
    return;
  }

  recordLinkBytes(
    link: string,
    _cause: string,
    workspace: string,
    bytes: number,
  ) {
    this.linkUse.push({link, workspace, bytes});
  }

  of(request: string, type: Decision['type']): Decision[] {
    return this.entries
      .filter(item => item.request === request && item.decision.type === type)
      .map(({decision}) => decision);
  }
}

/** A scheduler with the example deployment's upstreams and a manual timer. */
export class SchedulerHarness {
  readonly timer = new ManualTimer();
  readonly decisions = new DecisionRecorder();
  readonly directory = new Directory('127.0.0.1');
  readonly scheduler: AdmissionScheduler;
  readonly configuration: Configuration;
  private workCount = 0;

  constructor(
    change: (configuration: Configuration) => void = () => undefined,
    {
      zone = 'delta-1',
      membership,
    }: {zone?: string; membership?: Membership} = {},
  ) {
    this.configuration = documentSchema.parse(exampleOf(Deployment.Nilecoil));
    change(this.configuration);
    this.directory.apply(this.configuration);
    this.scheduler = new AdmissionScheduler({
      directory: this.directory,
      membership: membership ?? singleInstance(zone),
      timer: this.timer,
      recorder: this.decisions,
      zone,
      random: seededRandom(1),
    });
    this.scheduler.apply(this.configuration);
  }

  runners(): Upstream[] {
    return this.directory.all().filter(({pool}) => pool.kind === 'runner');
  }

  upstream(name: string): Upstream {
    return this.directory.all().find(item => item.name === name) as Upstream;
  }

  /** Sets the load report of every runner, as of now. */
  reportLoad(slots: number, running = 0): void {
    for (const runner of this.runners()) {
      runner.load = {
        running,
        waiting: 0,
        memory: 0,
        slots,
        leaving: false,
        receivedAt: this.timer.now(),
      };
    }
  }

  /** Creates a request of a class, from the first workspace that allows it. */
  work(className: string, change: Partial<ParsedRequest> = {}): ParsedRequest {
    const serviceClass = this.configuration.classes.find(
      ({name}) => name === className,
    ) as ServiceClass;
    const workspace = this.configuration.workspaces.find(({classes}) =>
      classes.includes(className),
    );
    return {
      id: `request-${this.workCount++}`,
      workspace: workspace as ParsedRequest['workspace'],
      serviceClass,
      configurationVersion: 1,
      demand: {
        type: 'generation',
        model: 'tube-7b',
        prompt: 'Which glue?',
        stream: true,
      },
      method: 'POST',
      path: '/v1/chat/completions',
      contentType: 'application/json',
      body: Buffer.from('{}'),
      repeatable: true,
      resumable: false,
      arrivedAt: this.timer.now(),
      deadlineAt: this.timer.now() + serviceClass.deadlineMs,
      priorAttempts: 0,
      ...change,
    };
  }

  /** Requests a placement, with `tried` as the upstreams tried before. */
  acquire(work: ParsedRequest, tried: string[] = []) {
    const signal = new AbortController().signal;
    return this.scheduler.acquire(work, {tried: new Set(tried)}, signal);
  }
}

/** Membership of a fleet of one instance. */
function singleInstance(zone: string): Membership {
  return new StandaloneMembership({
    name: 'router-1',
    incarnation: 1,
    zone,
    host: '127.0.0.1',
    port: 1,
  });
}
