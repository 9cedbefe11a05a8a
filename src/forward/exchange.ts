import {LogEvent} from '../telemetry/logevent.js';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {Repetition, type Route, type RoutingTable} from '../route/index.js';
import {
  runAttempt,
  type AttemptResult,
  type BufferedResponse,
} from './attempt.js';
import {readBody} from './body.js';
import {isPauseSensitive, prefillShareOf} from './placement.js';
import {Deadline, StopCause} from './deadline.js';
import type {Ending} from './ending.js';
import type {Endpoint} from './endpoint.js';
import type {Placement, PlacementRequest} from './waitqueue.js';
import type {RequestHead} from './protocol.js';
import {NotRunCause, refusalStatus, type Refusal} from './refusal.js';
import {notRunCauseOf, decideRetry, Retry, healthSignalOf} from './retry.js';
import {Reply} from './reply.js';
import type {ServiceState} from './servicestate.js';
import {StreamSink} from './sink.js';
import {SilenceWatchdog} from './watchdog.js';
import type {ForwardDependencies} from './dependencies.js';

/** Time a caller waits that doesn't say, in ms; the route's time-out bounds it. */
const PATIENCE_MS = 60_000;
/** One request of a caller, from its arrival to its end. */
export class Exchange {
  private readonly arrivedAt: number;
  private readonly reply: Reply;
  private readonly tried = new Set<string>();
  private sends = 0;
  /** Time from sending to the first bytes of a stream, in ms. */
  private startMs?: number;
  /** Time from the arrival to the first bytes of a stream, in ms. */
  private toFirstMs?: number;
  /** Objective of the request's route, in ms. */
  private targetMs?: number;
  private runs = 0;
  private mayHaveRun = false;
  private failure?: BufferedResponse;

  constructor(
    private readonly parts: ForwardDependencies,
    private readonly message: IncomingMessage,
    private readonly response: ServerResponse,
  ) {
    this.arrivedAt = parts.timer.now();
    this.reply = new Reply(response, parts.isDraining);
  }

  /** Serves the request; resolves once its answer is written. */
  async run(): Promise<void> {
    const {routing, protocol, logger, timer} = this.parts;
    const request = protocol.readRequest(this.message);
    const table = routing.current();
    const ending =
      table === undefined
        ? this.refuse({type: 'notReady'})
        : await this.serve(request, table);
    const ms = Math.round(timer.now() - this.arrivedAt);
    this.parts.metrics.recordEnding(ending, ms);
    logger.info(
      {
        event: LogEvent.Ended,
        request: request.id,
        version: table?.version,
        ...ending,
        sends: this.sends,
        startMs: this.startMs,
        toFirstMs: this.toFirstMs,
        targetMs: this.targetMs,
        ms,
      },
      'Request ended.',
    );
  }

  private async serve(
    request: RequestHead,
    table: RoutingTable,
  ): Promise<Ending> {
    const headBytes = bytesOf(this.message.rawHeaders);
    const {headerBytes: limitBytes} = table.limits;
    if (headBytes > limitBytes) {
      return this.refuse({type: 'headTooLarge', limitBytes});
    }
    const query = request.target.indexOf('?');
    const path = query < 0 ? request.target : request.target.slice(0, query);
    const route = table.match(request.host, path);
    if (route === undefined) return this.refuse({type: 'unknownRoute'});
    this.targetMs = route.targetMs;
    const admittance = table.authenticate(route, request.key);
    if (admittance.type === 'unauthenticated') {
      return this.refuse({type: 'unauthenticated'}, route);
    }
    const workspace =
      admittance.type === 'workspace' ? admittance.workspace : undefined;
    const patienceMs = request.callerTimeoutMs ?? PATIENCE_MS;
    const limitMs = Math.min(patienceMs, route.timeoutMs);
    if (!this.parts.canServeFor(limitMs)) {
      return this.refuse({type: 'leaving'}, route);
    }
    const deadline = new Deadline(this.parts.timer, this.arrivedAt + limitMs);
    const leave = () => {
      if (!this.response.writableFinished) deadline.stop(StopCause.Gone);
    };
    this.response.once('close', leave);
    try {
      const body = await this.readBody(table, deadline);
      if ('type' in body) return this.refuse(body, route);
      const lane = this.parts.serviceStateOf(
        table.pick(route, this.parts.random()),
      );
      const task: Task = {
        request,
        route,
        table,
        lane,
        deadline,
        body,
        tier: workspace?.tier ?? route.tier,
        ...(workspace === undefined ? {} : {workspace: workspace.name}),
      };
      return await this.forward(task);
    } finally {
      deadline.end();
      this.response.off('close', leave);
    }
  }

  private async readBody(
    {limits}: RoutingTable,
    deadline: Deadline,
  ): Promise<Buffer | Refusal> {
    const reading = readBody(this.message, limits.bodyBytes);
    const stopped = new Promise<undefined>(resolve => {
      if (deadline.signal.aborted) resolve(undefined);
      deadline.signal.addEventListener('abort', () => resolve(undefined), {
        once: true,
      });
    });
    const body = await Promise.race([reading, stopped]);
    if (body === undefined) return {type: 'incomplete'};
    return body.isOk() ? body.value : body.error;
  }

  /** Sends the request to upstreams until one answers or none is left. */
  private async forward(task: Task): Promise<Ending> {
    const {route, deadline, lane} = task;
    const sink = new StreamSink(this.reply, task.request.lastEvent, route);
    for (;;) {
      const want = this.wantOf(task);
      const place = await lane.waitQueue.acquire(want);
      if (place.type === 'gone') return this.stopped(task);
      if (place.type === 'notRun') return this.giveUp(task, place);
      const result = await this.attempt(task, sink, want, place);
      const ending = this.conclude(task, sink, result);
      if (ending !== undefined) return ending;
      if (deadline.signal.aborted) return this.stopped(task);
      if (!this.mayRepeat(task, sink, result)) {
        return this.giveUp(
          task,
          lane.waitQueue.refusalFor(notRunCauseOf(result)),
          result,
        );
      }
      this.parts.logger.info(
        {
          event: LogEvent.Repeats,
          request: task.request.id,
          after: result.type,
          cause: 'cause' in result ? result.cause : undefined,
          lastEvent: sink.lastEvent,
          repeatsLeft: lane.retryBudget.remaining(this.parts.timer.now()),
        },
        'The request is sent to another upstream.',
      );
    }
  }

  private wantOf({
    request,
    route,
    table,
    tier,
    deadline,
    lane,
  }: Task): PlacementRequest {
    const pauses = table.targetGapsOf(lane.name);
    return {
      requestId: request.id,
      routeName: route.name,
      tier,
      targetMs: route.targetMs,
      prefillShare: prefillShareOf(tier, table.lowestTierOf(lane.name)),
      dueAt: this.arrivedAt + route.targetMs,
      deadlineAt: deadline.at,
      signal: deadline.signal,
      triedUpstreams: this.tried,
      pauseSensitive: isPauseSensitive(route.targetGapMs, pauses),
      answerStarted: this.reply.headersSent,
      shortestPauseMs: Math.min(...pauses),
      ...(request.prompt === undefined ? {} : {prompt: request.prompt}),
    };
  }

  private async attempt(
    task: Task,
    sink: StreamSink,
    want: PlacementRequest,
    place: Placement,
  ): Promise<AttemptResult> {
    const {endpoint} = place;
    const {request, deadline, lane, route, body, workspace, tier} = task;
    const {timer, protocol} = this.parts;
    const sentAt = timer.now();
    this.tried.add(endpoint.id);
    if (this.sends === 0) lane.retryBudget.countFirstAttempt(sentAt);
    this.sends++;
    if (request.prompt !== undefined) {
      this.parts.promptSent(endpoint, request.prompt);
    }
    const load = lane.trackLoad(place, want, sentAt);
    sink.beginAttempt(() => {
      const now = timer.now();
      this.startMs ??= Math.round(now - sentAt);
      this.toFirstMs ??= Math.round(now - this.arrivedAt);
      load.recordFirstBytes(now);
    });
    const isSafe = route.repetition !== Repetition.AtMostOnce;
    const silence = new SilenceWatchdog({
      timer,
      endpoint,
      route,
      prefillMs: place.prefillMs,
      enabled: isSafe && this.sends < route.attemptsLimit,
      isAlive: () => this.parts.isAlive(endpoint),
    });
    // What may not be repeated is left to finish when its caller goes.
    const isKept = !isSafe && !route.streaming;
    const signal = AbortSignal.any([
      isKept ? timeOutOnly(deadline) : deadline.signal,
      silence.signal,
    ]);
    try {
      const result = await runAttempt({
        endpoint,
        protocol,
        request,
        metadata: {
          upstream: endpoint.id,
          remainingMs: Math.max(1, Math.floor(deadline.at - sentAt)),
          ...(workspace === undefined ? {} : {workspace}),
          ...(request.prompt === undefined ? {} : {tier}),
          ...(sink.lastEvent === undefined ? {} : {lastEvent: sink.lastEvent}),
        },
        body,
        sink,
        timer,
        signal,
      });
      this.observe(task, endpoint, result, silence.expired);
      const tookMs = timer.now() - sentAt;
      if (result.type === 'whole') lane.speeds.observePlain(tookMs);
      if (result.type === 'delivered') lane.speeds.observe(route.name, tookMs);
      return result;
    } finally {
      silence.end();
      load.end();
      lane.waitQueue.placeWaiting();
    }
  }

  /** Takes in what an attempt tells of an upstream's health. */
  private observe(
    {deadline, request}: Task,
    endpoint: Endpoint,
    result: AttemptResult,
    silent: boolean,
  ): void {
    const {timer, logger} = this.parts;
    const sign = healthSignalOf(result);
    if (deadline.signal.aborted && !silent) return;
    const {health} = endpoint;
    const now = timer.now();
    const outMs = silent ? health.eject(now) : health.observe(sign, now);
    if (outMs === undefined) return;
    logger.warn(
      {
        event: LogEvent.Health,
        upstream: endpoint.id,
        request: request.id,
        sign,
        silent,
        cause: 'cause' in result ? result.cause : undefined,
        heardMsAgo: Math.round(now - endpoint.lastHeardAt),
        outMs,
      },
      'Upstream is out of use for a while.',
    );
  }

  /** Ends the request if the result is final. */
  private conclude(
    {route}: Task,
    sink: StreamSink,
    result: AttemptResult,
  ): Ending | undefined {
    switch (result.type) {
      case 'delivered':
        sink.finish();
        return {
          outcome: 'answered',
          status: result.head.status,
          route: route.name,
        };
      case 'whole': {
        const {answer} = result;
        const {status} = answer.head;
        if (status >= 200 && status < 300) {
          this.reply.sendBuffered(answer);
          return {outcome: 'answered', status, route: route.name};
        }
        this.mayHaveRun = true;
        this.runs++;
        this.failure = answer;
        return undefined;
      }
      case 'broken':
        this.mayHaveRun = true;
        this.runs++;
        return undefined;
      case 'refused':
      case 'unsent':
        return undefined;
    }
  }

  /** Whether the request may be sent to another upstream after a result. */
  private mayRepeat(
    {route, deadline, lane}: Task,
    sink: StreamSink,
    result: AttemptResult,
  ): boolean {
    const now = this.parts.timer.now();
    const verdict = decideRetry({
      route,
      result,
      attempts: this.sends,
      possibleRuns: this.runs,
      resumable: sink.resumable,
      leftMs: deadline.at - now,
    });
    switch (verdict) {
      case Retry.Never:
        return false;
      case Retry.Free:
        return true;
      case Retry.Charged:
        return lane.retryBudget.take(now);
    }
  }

  /** Ends a request that its caller left or that has run out of time. */
  private stopped({route, deadline, lane}: Task): Ending {
    if (deadline.cause === StopCause.Gone) {
      return {outcome: 'gone', route: route.name};
    }
    if (this.mayHaveRun || this.sends > 0) {
      return this.refuse({type: 'timedOut'}, route);
    }
    return this.refuse(lane.waitQueue.refusalFor(NotRunCause.Waited), route);
  }

  /** Ends a request for which no attempt is left. */
  private giveUp(
    {route}: Task,
    notRun: Refusal & {type: 'notRun'},
    last?: AttemptResult,
  ): Ending {
    const {failure} = this;
    if (failure !== undefined && !this.reply.headersSent) {
      return this.passFailure(failure, route);
    }
    if (last?.type === 'refused' && last.status === 400) {
      return this.refuse({type: 'incomplete'}, route);
    }
    if (!this.mayHaveRun) return this.refuse(notRun, route);
    const cause =
      last !== undefined && 'cause' in last ? last.cause : notRun.cause;
    return this.refuse({type: 'broken', cause}, route);
  }

  /** Passes an upstream's own failure on, unless it promises what isn't so. */
  private passFailure(failure: BufferedResponse, route: Route): Ending {
    const {status} = failure.head;
    if (this.parts.protocol.impliesNotRun(status)) {
      return this.refuse(
        {type: 'broken', cause: `upstream answered ${status}`},
        route,
      );
    }
    this.reply.sendBuffered(failure);
    return {
      outcome: 'failed',
      status,
      cause: 'upstream failed',
      route: route.name,
    };
  }

  private refuse(refusal: Refusal, route?: Route): Ending {
    const status = refusalStatus(refusal);
    const mayHaveRun = refusal.type === 'broken' || refusal.type === 'timedOut';
    const outcome = this.reply.headersSent
      ? 'broken'
      : mayHaveRun
        ? 'failed'
        : 'refused';
    this.reply.refuse(refusal);
    return {
      outcome,
      status,
      cause: 'cause' in refusal ? refusal.cause : refusal.type,
      ...(route === undefined ? {} : {route: route.name}),
    };
  }
}

/** What is known of a request once it has been read. */
interface Task {
  request: RequestHead;
  route: Route;
  table: RoutingTable;
  lane: ServiceState;
  deadline: Deadline;
  body: Buffer;
  tier: number;
  workspace?: string;
}

function bytesOf(headers: readonly string[]): number {
  return headers.reduce((sum, {length}) => sum + length, 0);
}

function timeOutOnly(deadline: Deadline): AbortSignal {
  const controller = new AbortController();
  deadline.signal.addEventListener('abort', () => {
    if (deadline.cause === StopCause.TimedOut) controller.abort();
  });
  return controller.signal;
}
