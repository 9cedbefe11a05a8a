import {LogEvent} from '../telemetry/logevent.js';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Route, RoutingTable} from '../route/index.js';
import type {
  AttemptResult,
  BufferedResponse,
  ReceivedHead,
} from './attemptresult.js';
import {AttemptRunner} from './attemptrunner.js';
import {BodyReader, bytesOf} from './body.js';
import {ResumableStream, serviceOf} from './resumablestream.js';
import {Deadline, StopCause} from './deadline.js';
import {digestOf} from './digest.js';
import {rejectionOf, type Ending} from './ending.js';
import {
  partsOf,
  placementRequestOf,
  sharesPrompt,
  type RequestContext,
} from './requestcontext.js';
import type {RequestHead} from './protocol.js';
import {
  EXPIRED,
  NotRunCause,
  refusalStatus,
  UNKNOWN_VERSION,
  type Refusal,
} from './refusal.js';
import {notRunCauseOf, decideRetry, Retry} from './retry.js';
import type {Reply} from './reply.js';
import {AttemptTally, isCrashSign, isSuccess} from './attempttally.js';
import {StreamSink} from './sink.js';
import {discardRest} from './unreadbody.js';
import type {ForwardDependencies} from './dependencies.js';
import {HoldCheck} from './holdcheck.js';

/** Time-out of a request that states none, in ms; the route's also applies. */
const DEFAULT_CALLER_TIMEOUT_MS = 60_000;

/**
 * Upstreams that may break off their answers at the beginning before a request
 * with a prompt is no longer retried: it may be what crashes them.
 */
const MAX_EARLY_BREAKS = 2;

/** Forwards one request of a caller and writes its response. */
export class Exchange {
  private readonly tally: AttemptTally;
  private readonly body: BodyReader;
  /** Objective of the request's route, in ms. */
  private targetMs?: number;

  constructor(
    private readonly dependencies: ForwardDependencies,
    private readonly message: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly reply: Reply,
  ) {
    const {timer, routing, bodies: budget, smallChunks: chunks} = dependencies;
    this.tally = new AttemptTally(timer.now());
    const limitBytes = routing.current()?.limits.bodyBytes;
    this.body = new BodyReader(message, {limitBytes, budget, chunks});
  }

  /** Serves the request; resolves once its response is written. */
  async run(): Promise<void> {
    try {
      await this.serveAndLog();
    } finally {
      this.body.release();
      discardRest(this.message, this.dependencies.timer);
    }
  }

  private async serveAndLog(): Promise<void> {
    const {routing, protocol, logger, timer} = this.dependencies;
    const request = protocol.readRequest(this.message);
    const table = routing.current();
    const ending =
      table === undefined
        ? this.refuse({type: 'notReady'})
        : await this.serve(request, table);
    const {arrivedAt, attempts, startMs, toFirstMs} = this.tally;
    const ms = Math.round(timer.now() - arrivedAt);
    this.dependencies.metrics.recordEnding(ending, ms);
    logger.info(
      {
        event: LogEvent.Ended,
        request: request.id,
        version: table?.version,
        ...ending,
        sends: attempts,
        startMs,
        toFirstMs,
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
    const {destroyed, complete, socket} = this.message;
    // A message that was read to its end counts as destroyed.
    if ((destroyed && !complete) || !socket.writable) return {outcome: 'gone'};
    const {httpVersion, headers} = this.message;
    if (httpVersion === '1.1' && headers.host === undefined) {
      return this.refuse({type: 'incomplete'});
    }
    const {headerBytes: limitBytes} = table.limits;
    if (bytesOf(this.message.rawHeaders) > limitBytes) {
      return this.refuse({type: 'headTooLarge', limitBytes});
    }
    const [path = ''] = request.target.split('?', 1);
    const route = table.match(request.host, path);
    const rejection = () => ({
      rejected: rejectionOf(request.host, path, this.dependencies),
    });
    if (route === undefined) {
      return {...this.refuse({type: 'unknownRoute'}), ...rejection()};
    }
    this.targetMs = route.targetMs;
    if (
      request.prompt !== undefined &&
      !this.dependencies.mayForwardPrompts()
    ) {
      return this.refuse({type: 'notReady'}, route);
    }
    const admission = table.authenticate(route, request.key);
    if (admission.type === 'unauthenticated') {
      const ending = this.refuse({type: 'unauthenticated'}, route);
      return {...ending, ...rejection()};
    }
    const workspace =
      admission.type === 'workspace' ? admission.workspace : undefined;
    const callerTimeoutMs =
      request.callerTimeoutMs ?? DEFAULT_CALLER_TIMEOUT_MS;
    const limitMs = Math.min(callerTimeoutMs, route.timeoutMs);
    if (!this.dependencies.canServeFor(limitMs)) {
      return this.refuse({type: 'leaving'}, route);
    }
    const {timer, instanceSignal} = this.dependencies;
    const deadlineAt = this.tally.arrivedAt + limitMs;
    if (deadlineAt <= timer.now()) return this.refuse(EXPIRED, route);
    const deadline = new Deadline(timer, deadlineAt, instanceSignal);
    const onClose = () => {
      if (!this.response.writableFinished) deadline.stop(StopCause.Gone);
    };
    this.response.once('close', onClose);
    try {
      const body = await this.body.receive(deadline);
      if (body.type !== 'received') return this.refuse(body, route);
      const stream = ResumableStream.of(
        this.dependencies,
        request,
        route,
        this.tally.arrivedAt + callerTimeoutMs,
      );
      const isOriginKnown = (await stream?.findOrigin()) ?? true;
      if (!isOriginKnown) return this.refuse(UNKNOWN_VERSION, route);
      const service = this.dependencies.serviceStateOf(
        serviceOf(stream, route, table, this.dependencies.random),
      );
      const digest = digestOf(request, body.bytes, workspace?.name);
      const context: RequestContext = {
        request,
        route,
        table,
        service,
        deadline,
        body: body.bytes,
        digest,
        tier: table.tierOf(route, workspace),
        parts: partsOf(request, digest),
        ...(stream === undefined ? {} : {stream}),
        ...(workspace === undefined ? {} : {workspace: workspace.name}),
      };
      return await this.forward(context);
    } finally {
      deadline.end();
      this.response.off('close', onClose);
    }
  }

  /** Tries upstreams until one responds or the request may not be retried. */
  private async forward(context: RequestContext): Promise<Ending> {
    const {route, deadline, service} = context;
    const {request, stream} = context;
    const start = {
      lastEvent: request.lastEvent,
      softwareVersion: stream?.versionAt(service.name),
    };
    const sink = new StreamSink(this.reply, route, start, version =>
      stream?.noteOrigin(service.name, version),
    );
    const hold = new HoldCheck(this.dependencies, context);
    const runner = new AttemptRunner(
      this.dependencies,
      context,
      this.tally,
      sink,
      () => this.reply.headersSent,
      hold,
    );
    const {origins, untilEntriesCurrent} = this.dependencies;
    for (;;) {
      // An outdated entry may name the version of an earlier process.
      if (sink.softwareVersion !== undefined && origins.isMixed(service.name)) {
        await untilEntriesCurrent();
      }
      const placementRequest = placementRequestOf(context, {
        arrivedAt: this.tally.arrivedAt,
        triedUpstreams: this.tally.triedUpstreams,
        answerStarted: this.reply.headersSent,
        hold,
        softwareVersion: sink.softwareVersion,
      });
      const placement = await runner.place(placementRequest);
      if (placement.type === 'gone') return this.endStopped(context);
      if (placement.type === 'notRun') return this.giveUp(context, placement);
      const result = await runner.run(placementRequest, placement);
      sink.noteWriter();
      const ending = this.endIfFinal(context, sink, result);
      if (ending !== undefined) return ending;
      if (deadline.signal.aborted) return this.endStopped(context);
      if (!this.mayRetry(context, sink, result)) {
        // One stream hardly breaks off twice.
        if (result.type === 'doubtful' && this.tally.streamBreaks > 1) {
          return this.finish(sink, context.route, result.head);
        }
        return this.giveUp(
          context,
          service.waitQueue.refusalFor(notRunCauseOf(result)),
          result,
        );
      }
      this.dependencies.logger.info(
        {
          event: LogEvent.Repeats,
          request: context.request.id,
          after: result.type,
          cause: 'cause' in result ? result.cause : undefined,
          lastEvent: sink.lastEvent,
          repeatsLeft: service.retryBudget.remaining(
            this.dependencies.timer.now(),
          ),
        },
        'Retrying the request on another upstream.',
      );
    }
  }

  /** Completes the response if the result is final; else returns undefined. */
  private endIfFinal(
    {route}: RequestContext,
    sink: StreamSink,
    result: AttemptResult,
  ): Ending | undefined {
    switch (result.type) {
      case 'delivered':
        return this.finish(sink, route, result.head);
      case 'whole': {
        const {answer} = result;
        if (!isSuccess(result)) break;
        this.reply.sendBuffered(answer);
        const {status, framed} = answer.head;
        return {outcome: 'answered', status, route: route.name, framed};
      }
      case 'doubtful':
      case 'broken':
      case 'refused':
      case 'unsent':
      case 'withheld':
      case 'misplaced':
        break;
    }
    this.tally.recordFailure(result);
    return undefined;
  }

  private finish(
    sink: StreamSink,
    route: Route,
    {status, framed}: ReceivedHead,
  ): Ending {
    sink.finish();
    return {outcome: 'answered', status, route: route.name, framed};
  }

  /** Whether the request may be retried; takes from the retry budget. */
  private mayRetry(
    context: RequestContext,
    sink: StreamSink,
    result: AttemptResult,
  ): boolean {
    const {route, deadline, service, parts, request} = context;
    const {promptGuard} = this.dependencies;
    const isLimited = sharesPrompt(context);
    if (isLimited && this.tally.earlyBreaks >= MAX_EARLY_BREAKS) return false;
    const mayHaveCrashed = isCrashSign(result, request.prompt !== undefined);
    if (mayHaveCrashed && !promptGuard.mayRepeat(parts)) return false;
    const now = this.dependencies.timer.now();
    const decision = decideRetry({
      route,
      result,
      attempts: this.tally.attempts,
      possibleRuns: this.tally.possibleRuns,
      resumable: sink.resumable,
      leftMs: deadline.at - now,
    });
    switch (decision) {
      case Retry.Never:
        return false;
      case Retry.Free:
        return true;
      case Retry.Charged:
        return service.retryBudget.take(now);
    }
  }

  /** Ends a request that was stopped. */
  private endStopped({route, deadline, service}: RequestContext): Ending {
    if (deadline.cause === StopCause.Gone) {
      return {outcome: 'gone', route: route.name};
    }
    if (this.tally.attempts > 0) {
      return this.refuse({type: 'timedOut'}, route);
    }
    return deadline.cause === StopCause.Stopped
      ? this.refuse({type: 'leaving'}, route)
      : this.refuse(service.waitQueue.refusalFor(NotRunCause.Waited), route);
  }

  /** Ends a request that is not placed or not retried. */
  private giveUp(
    {route, digest}: RequestContext,
    notRun: Refusal & {type: 'notRun'},
    lastResult?: AttemptResult,
  ): Ending {
    const {upstreamFailure, mayHaveRun} = this.tally;
    if (upstreamFailure !== undefined && !this.reply.headersSent) {
      return this.forwardFailure(upstreamFailure, route);
    }
    if (lastResult?.type === 'refused' && lastResult.status === 400) {
      return this.refuse({type: 'incomplete'}, route);
    }
    if (!mayHaveRun) return this.refuse(notRun, route);
    const cause =
      lastResult !== undefined && 'cause' in lastResult
        ? lastResult.cause
        : notRun.cause;
    return {...this.refuse({type: 'broken', cause}, route), digest};
  }

  /**
   * Forwards an upstream's error response, unless its status tells callers that
   * the request did not run, which is not known here.
   */
  private forwardFailure(failure: BufferedResponse, route: Route): Ending {
    const {status} = failure.head;
    if (this.dependencies.protocol.impliesNotRun(status)) {
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
