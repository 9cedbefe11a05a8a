import {Path} from '../relay/index.js';
import {Repetition} from '../route/index.js';
import {LogEvent} from '../telemetry/logevent.js';
import {runAttempt} from './attempt.js';
import {
  AnswerProgress,
  BreakCause,
  headOf,
  type AttemptResult,
  type ReceivedHead,
} from './attemptresult.js';
import {recordHealth} from './attempthealth.js';
import type {Connection} from './connections.js';
import type {ForwardDependencies} from './dependencies.js';
import {StopCause} from './deadline.js';
import type {Endpoint} from './endpoint.js';
import type {Placement, PlacementRequest} from './placementrequest.js';
import {checkProcess, ProcessCheck} from './processcheck.js';
import {AnswerSign} from './answersign.js';
import type {RequestContext} from './requestcontext.js';
import {answerSignOf, isCrashSign} from './attempttally.js';
import type {AttemptLoad} from './servicestate.js';
import type {AttemptSink} from './sink.js';
import {SilenceWatchdog, type Silence} from './watchdog.js';
import {AnswerEnd} from './witness.js';
import type {WitnessedAnswer} from './witnesses.js';

/** Told of what happens to a [[RunningAttempt]]. */
export interface AttemptListener {
  /** The request is being written to the upstream. */
  onSent(): void;
  /** A successful response begins or goes on. */
  onAnswer(): void;
  /** Whether another upstream could take the request over. */
  isReplaceable(): boolean;
  /** There is silence, repeated while it lasts; the upstream may be dead. */
  onSilence(silence: Silence, silentMs: number): void;
}

/** One attempt in progress, with its load on the upstream and its watchdog. */
export class RunningAttempt {
  /** When the attempt began, in monotonic ms. */
  readonly sentAt: number;
  readonly endpoint: Endpoint;
  private readonly load: AttemptLoad;
  private readonly controller = new AbortController();
  private connection?: Connection;
  private isSent = false;
  /**
   * Present from the head of an answer without a length on, and before one that
   * is expected.
   */
  private answer?: WitnessedAnswer;
  /** Who ended the answer, if that is sought before the attempt has ended. */
  private answerEnd?: Promise<AnswerEnd>;
  /** Whether the head of an answer has come. */
  private hasStarted = false;
  /** Whether a complete event has come. */
  private hasAdvanced = false;

  constructor(
    private readonly dependencies: ForwardDependencies,
    private readonly context: RequestContext,
    private readonly placement: Placement,
    private readonly placementRequest: PlacementRequest,
    /** Takes the response. */
    readonly sink: AttemptSink,
    private readonly listener: AttemptListener,
  ) {
    this.endpoint = placement.endpoint;
    this.sentAt = dependencies.timer.now();
    this.load = context.service.trackLoad(
      placement,
      placementRequest,
      this.sentAt,
    );
  }

  /** Whether the head of a successful answer has come. */
  get hasAnswer(): boolean {
    return this.hasStarted;
  }

  /** Sends the request; a stream continues after the event `lastEvent`. */
  async run(lastEvent?: string): Promise<AttemptResult> {
    try {
      const connection = await this.connect();
      if (connection === undefined) return {type: 'misplaced'};
      return await this.send(connection, lastEvent);
    } catch (cause) {
      return this.resultOfDefect(cause);
    } finally {
      this.answer?.leave();
      this.load.end();
      this.context.service.waitQueue.placeWaiting();
    }
  }

  /**
   * A connection to the upstream; undefined if it may not lead to the process
   * that must go on with a stream.
   */
  private async connect(): Promise<Connection | undefined> {
    const {dependencies, endpoint} = this;
    const {protocol, timer, observer, answers} = dependencies;
    this.answer = this.prepareWitness();
    const connection = endpoint.connections.acquire();
    if (this.placementRequest.softwareVersion === undefined) return connection;
    // Without a permit for the question, the entry has to be believed.
    if (!endpoint.limit.take(timer.now())) return connection;
    const signal = AbortSignal.any([
      this.context.deadline.signal,
      this.controller.signal,
    ]);
    const check = await checkProcess({
      endpoint,
      connection,
      protocol,
      timer,
      answers,
      signal,
      observe: head => {
        observer.observe(endpoint, head);
      },
    });
    switch (check) {
      case ProcessCheck.Same:
      case ProcessCheck.Unknown:
        return connection;
      case ProcessCheck.Other:
        endpoint.connections.release(connection, false);
        return undefined;
    }
  }

  /** By which way the request was sent. */
  get path(): Path {
    return this.connection?.path ?? Path.Direct;
  }

  private async send(
    connection: Connection,
    lastEvent?: string,
  ): Promise<AttemptResult> {
    this.connection = connection;
    const {context, dependencies, endpoint, sentAt, placement} = this;
    const {listener, sink} = this;
    const {request, deadline, service, route, body, workspace, tier} = context;
    const {parts} = context;
    const {timer, protocol, observer} = dependencies;
    if (request.prompt !== undefined) {
      dependencies.promptSent(endpoint, request.prompt);
    }
    const {promptGuard} = dependencies;
    const isRetryable = route.repetition !== Repetition.AtMostOnce;
    // Silence during any request may mean that the links to upstreams are cut.
    const isWatched = isRetryable || !route.streaming;
    const watchdog = isWatched
      ? new SilenceWatchdog({
          timer,
          endpoint,
          connection,
          route,
          prefillMs: placement.prefillMs,
          isReplaceable: () => !isRetryable || listener.isReplaceable(),
          isAlive: () => dependencies.isAlive(endpoint, connection.path),
          overdueMs: () => service.starts.overdueMs(route.name),
          onSilence: (silence, silentMs) => {
            if (connection.path === Path.Direct) {
              dependencies.noteSilence(endpoint);
            }
            if (isRetryable) listener.onSilence(silence, silentMs);
          },
        })
      : undefined;
    // A request that must not be retried runs to its end without its caller.
    const outlivesCaller = !isRetryable && !route.streaming;
    try {
      const ended = await runAttempt({
        endpoint,
        connection,
        placedAt: sentAt,
        protocol,
        request,
        metadata: {
          upstream: endpoint.id,
          remainingMs: Math.max(1, Math.floor(deadline.at - timer.now())),
          ...(workspace === undefined ? {} : {workspace}),
          ...(request.prompt === undefined ? {} : {tier}),
          ...(lastEvent === undefined ? {} : {lastEvent}),
        },
        body,
        sink,
        timer,
        answers: dependencies.answers,
        signal: AbortSignal.any([
          outlivesCaller ? deadline.expirySignal : deadline.signal,
          this.controller.signal,
        ]),
        sent: () => {
          this.isSent = true;
          this.answer ??= this.prepareWitness(connection);
          listener.onSent();
        },
        ended: () => {
          this.answerEnd = this.answer?.judge(deadline.at - timer.now());
        },
        advanced: () => {
          this.hasAdvanced = true;
          this.recordSurvival(AnswerSign.Event);
        },
        received: () => {
          this.recordStart();
          watchdog?.noteAnswer();
          listener.onAnswer();
        },
        observe: head => {
          const asksForPause = observer.observe(
            endpoint,
            head,
            placement.trial,
          );
          this.witness(head, connection);
          return asksForPause;
        },
      });
      const result = await this.confirm(ended, lastEvent);
      if (!this.controller.signal.aborted) {
        const {path} = connection;
        recordHealth(dependencies, context, endpoint, result, path);
      }
      const sign = answerSignOf(result, protocol);
      if (sign !== undefined) this.recordSurvival(sign);
      if (isCrashSign(result, request.prompt !== undefined)) {
        promptGuard.recordBreak(endpoint, {request: request.id, parts, sentAt});
      }
      const ms = timer.now() - sentAt;
      if (result.type === 'whole' && !result.asksForPause) {
        service.speeds.observePlain(ms);
      }
      if (result.type === 'delivered') service.speeds.observe(route.name, ms);
      return result;
    } finally {
      watchdog?.end();
    }
  }

  /** Records an answer that its upstream lived on to send. */
  private recordSurvival(sign: AnswerSign): void {
    const {dependencies, context, endpoint} = this;
    dependencies.promptGuard.recordAnswer({
      request: context.request.id,
      upstream: endpoint.id,
      parts: context.parts,
      sign,
    });
  }

  private prepareWitness(connection?: Connection): WitnessedAnswer | undefined {
    const {dependencies, endpoint, context} = this;
    const {name} = context.route;
    return dependencies.witnesses.prepare(endpoint, name, connection);
  }

  /** Keeps a witness of an answer without a length, from its head on. */
  private witness(
    {framed, notRun}: ReceivedHead,
    connection: Connection,
  ): void {
    if (notRun) return;
    const {endpoint, answer: prepared} = this;
    const {witnesses} = this.dependencies;
    const {name} = this.context.route;
    if (framed) {
      witnesses.noteFramed(endpoint, name);
      delete this.answer;
    } else this.answer = witnesses.attend(endpoint, connection, name);
    prepared?.leave();
  }

  /**
   * An answer without a length ends with its connection, which others than its
   * upstream may have ended.
   */
  private async confirm(
    result: AttemptResult,
    lastEvent?: string,
  ): Promise<AttemptResult> {
    const head = headOf(result);
    const {answer} = this;
    if (head === undefined || head.framed || answer === undefined) {
      return result;
    }
    const leftMs = this.context.deadline.at - this.dependencies.timer.now();
    const end = await (this.answerEnd ?? answer.judge(leftMs));
    switch (end) {
      case AnswerEnd.Whole:
        return result;
      case AnswerEnd.Unknown: {
        if (!this.canGoOn(head, lastEvent)) return result;
        const cause = 'a stream without length ended, and nothing shows how';
        return {type: 'doubtful', head, cause};
      }
      case AnswerEnd.Broken:
        return {
          type: 'broken',
          cause: 'an answer without length ended with other connections',
          started: result.type === 'delivered',
          progress: head.isEventStream
            ? AnswerProgress.Advanced
            : AnswerProgress.Begun,
          endedBy: BreakCause.Upstream,
        };
    }
  }

  /**
   * Whether another upstream can tell if there is more of the stream. Where two
   * have ended it after the same event, there is none.
   */
  private canGoOn({isEventStream}: ReceivedHead, lastEvent?: string): boolean {
    const {repetition} = this.context.route;
    if (!isEventStream || repetition !== Repetition.Resumable) return false;
    // Tunnels aren't kept, so that none stands beside a short stream.
    if (this.path === Path.Relayed) return false;
    const isConfirmed = lastEvent !== undefined && !this.hasAdvanced;
    return this.sink.isResumable && !isConfirmed;
  }

  /** Result of an attempt that failed unexpectedly; the request goes on. */
  private resultOfDefect(cause: unknown): AttemptResult {
    const {dependencies, context, endpoint, isSent} = this;
    dependencies.logger.error(
      {
        event: LogEvent.Defect,
        request: context.request.id,
        upstream: endpoint.id,
        cause: String(cause),
      },
      'An attempt failed unexpectedly.',
    );
    if (!isSent) return {type: 'unsent', cause: String(cause)};
    return {
      type: 'broken',
      cause: String(cause),
      started: this.hasStarted,
      progress: AnswerProgress.None,
      endedBy: BreakCause.Abort,
    };
  }

  private recordStart(): void {
    if (this.hasStarted) return;
    this.hasStarted = true;
    const {service, route} = this.context;
    const startMs = this.dependencies.timer.now() - this.sentAt;
    service.starts.add(route.name, startMs);
  }

  /** Records the first bytes of the response, which end the prefill. */
  recordFirstBytes(now: number): void {
    this.load.recordFirstBytes(now);
  }

  /** Breaks the attempt off, since another one takes its place. */
  abandon(): void {
    this.controller.abort(StopCause.Replaced);
  }
}
