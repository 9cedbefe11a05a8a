import {LogEvent} from '../telemetry/logevent.js';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {Repetition, type Route, type RoutingTable} from '../route/index.js';
import {
  runAttempt,
  type AttemptResult,
  type BufferedResponse,
} from './attempt.js';
import {bytesOf, readBodyUntil} from './body.js';
import {Deadline, StopCause} from './deadline.js';
import {rejectionOf, type Ending} from './ending.js';
import type {Placement, PlacementRequest} from './placementrequest.js';
import {placementRequestOf, type RequestContext} from './requestcontext.js';
import type {RequestHead} from './protocol.js';
import {NotRunCause, refusalStatus, type Refusal} from './refusal.js';
import {notRunCauseOf, decideRetry, Retry} from './retry.js';
import {recordHealth} from './attempthealth.js';
import type {Reply} from './reply.js';
import {StreamSink} from './sink.js';
import {SilenceWatchdog} from './watchdog.js';
import type {ForwardDependencies} from './dependencies.js';

/** Time-out of a request that states none, in ms; the route's also applies. */
const DEFAULT_CALLER_TIMEOUT_MS = 60_000;

/** Forwards one request of a caller and writes its response. */
export class Exchange {
  private readonly arrivedAt: number;
  private readonly triedUpstreams = new Set<string>();
  /** Attempts so far. */
  private attempts = 0;
  /** Time from sending to the first bytes of a streamed response, in ms. */
  private startMs?: number;
  /** Time from arrival to the first bytes of a streamed response, in ms. */
  private toFirstMs?: number;
  /** Objective of the request's route, in ms. */
  private targetMs?: number;
  /** Attempts so far that the upstream may have run. */
  private possibleRuns = 0;
  private mayHaveRun = false;
  /** Last complete error response of an upstream. */
  private upstreamFailure?: BufferedResponse;

  constructor(
    private readonly dependencies: ForwardDependencies,
    private readonly message: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly reply: Reply,
  ) {
    this.arrivedAt = dependencies.timer.now();
  }

  /** Serves the request; resolves once its response is written. */
  async run(): Promise<void> {
    const {routing, protocol, logger, timer} = this.dependencies;
    const request = protocol.readRequest(this.message);
    const table = routing.current();
    const ending =
      table === undefined
        ? this.refuse({type: 'notReady'})
        : await this.serve(request, table);
    const ms = Math.round(timer.now() - this.arrivedAt);
    this.dependencies.metrics.recordEnding(ending, ms);
    logger.info(
      {
        event: LogEvent.Ended,
        request: request.id,
        version: table?.version,
        ...ending,
        sends: this.attempts,
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
    const {destroyed, socket} = this.message;
    if (destroyed || !socket.writable) return {outcome: 'gone'};
    const {headerBytes: limitBytes, bodyBytes} = table.limits;
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
    const deadline = new Deadline(
      this.dependencies.timer,
      this.arrivedAt + limitMs,
      this.dependencies.instanceSignal,
    );
    const onClose = () => {
      if (!this.response.writableFinished) deadline.stop(StopCause.Gone);
    };
    this.response.once('close', onClose);
    try {
      const body = await readBodyUntil(deadline, this.message, bodyBytes);
      if ('type' in body) return this.refuse(body, route);
      const service = this.dependencies.serviceStateOf(
        table.pick(route, this.dependencies.random()),
      );
      const context: RequestContext = {
        request,
        route,
        table,
        service,
        deadline,
        body,
        tier: table.tierOf(route, workspace),
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
    const sink = new StreamSink(this.reply, context.request.lastEvent, route);
    for (;;) {
      const placementRequest = placementRequestOf(context, {
        arrivedAt: this.arrivedAt,
        triedUpstreams: this.triedUpstreams,
        answerStarted: this.reply.headersSent,
      });
      const placement = await service.waitQueue.acquire(placementRequest);
      if (placement.type === 'gone') return this.endStopped(context);
      if (placement.type === 'notRun') return this.giveUp(context, placement);
      const result = await this.attempt(
        context,
        sink,
        placementRequest,
        placement,
      );
      const ending = this.endIfFinal(context, sink, result);
      if (ending !== undefined) return ending;
      if (deadline.signal.aborted) return this.endStopped(context);
      if (!this.mayRetry(context, sink, result)) {
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

  private async attempt(
    context: RequestContext,
    sink: StreamSink,
    placementRequest: PlacementRequest,
    placement: Placement,
  ): Promise<AttemptResult> {
    const {endpoint} = placement;
    const {request, deadline, service, route, body, workspace, tier} = context;
    const {timer, protocol, observer} = this.dependencies;
    const sentAt = timer.now();
    this.triedUpstreams.add(endpoint.id);
    if (this.attempts === 0) service.retryBudget.countFirstAttempt(sentAt);
    this.attempts++;
    if (request.prompt !== undefined) {
      this.dependencies.promptSent(endpoint, request.prompt);
    }
    const load = service.trackLoad(placement, placementRequest, sentAt);
    sink.beginAttempt(() => {
      const now = timer.now();
      this.startMs ??= Math.round(now - sentAt);
      this.toFirstMs ??= Math.round(now - this.arrivedAt);
      load.recordFirstBytes(now);
    });
    const isRetryable = route.repetition !== Repetition.AtMostOnce;
    const watchdog = new SilenceWatchdog({
      timer,
      endpoint,
      route,
      prefillMs: placement.prefillMs,
      active: isRetryable && this.attempts < route.attemptsLimit,
      isAlive: () => this.dependencies.isAlive(endpoint),
    });
    // A request that must not be retried runs to its end without its caller.
    const outlivesCaller = !isRetryable && !route.streaming;
    const signal = AbortSignal.any([
      outlivesCaller ? deadline.expirySignal : deadline.signal,
      watchdog.signal,
    ]);
    try {
      const result = await runAttempt({
        endpoint,
        placedAt: sentAt,
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
        observe: head => observer.observe(endpoint, head, placement.trial),
      });
      recordHealth(
        this.dependencies,
        context,
        endpoint,
        result,
        watchdog.expired,
      );
      const ms = timer.now() - sentAt;
      if (result.type === 'whole' && !result.asksForPause) {
        service.speeds.observePlain(ms);
      }
      if (result.type === 'delivered') service.speeds.observe(route.name, ms);
      return result;
    } finally {
      watchdog.end();
      load.end();
      service.waitQueue.placeWaiting();
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
        this.possibleRuns++;
        this.upstreamFailure = answer;
        return undefined;
      }
      case 'broken':
        this.mayHaveRun = true;
        this.possibleRuns++;
        return undefined;
      case 'refused':
      case 'unsent':
      case 'withheld':
        return undefined;
    }
  }

  /** Whether the request may be retried; takes from the retry budget. */
  private mayRetry(
    {route, deadline, service}: RequestContext,
    sink: StreamSink,
    result: AttemptResult,
  ): boolean {
    const now = this.dependencies.timer.now();
    const decision = decideRetry({
      route,
      result,
      attempts: this.attempts,
      possibleRuns: this.possibleRuns,
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
    if (this.mayHaveRun || this.attempts > 0) {
      return this.refuse({type: 'timedOut'}, route);
    }
    return deadline.cause === StopCause.Stopped
      ? this.refuse({type: 'leaving'}, route)
      : this.refuse(service.waitQueue.refusalFor(NotRunCause.Waited), route);
  }

  /** Ends a request that is not placed or not retried. */
  private giveUp(
    {route}: RequestContext,
    notRun: Refusal & {type: 'notRun'},
    lastResult?: AttemptResult,
  ): Ending {
    const {upstreamFailure} = this;
    if (upstreamFailure !== undefined && !this.reply.headersSent) {
      return this.forwardFailure(upstreamFailure, route);
    }
    if (lastResult?.type === 'refused' && lastResult.status === 400) {
      return this.refuse({type: 'incomplete'}, route);
    }
    if (!this.mayHaveRun) return this.refuse(notRun, route);
    const cause =
      lastResult !== undefined && 'cause' in lastResult
        ? lastResult.cause
        : notRun.cause;
    return this.refuse({type: 'broken', cause}, route);
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
