import type {EventSourceMessage} from 'eventsource-parser';
import type {RequestResult} from '../telemetry/index.js';
import {meetsTargets} from '../telemetry/index.js';
import type {Timer} from '../timer/index.js';
import type {AnswerSink, StreamSource} from './sink.js';
import {Outcome} from './outcome.js';
import type {ParsedRequest} from './work.js';

/** Matches a stream event with generated text, which counts as one token. */
const TEXT_FIELD = /"(?:content|text)":\s*"/;
/** Matches the count of generated tokens in an answer without streaming. */
const USAGE_FIELD = /"completion_tokens":\s*(\d+)/;
/** Engines put the usage at the end of a body, so only that is searched. */
const USAGE_TAIL_BYTES = 512;

/**
 * Forwards an answer to another sink and records the time of the first and last
 * token and the number of tokens.
 */
export class AnswerMeter implements AnswerSink {
  private tokens = 0;
  /** Times of the first and the last token, in monotonic ms. */
  private firstAt?: number;
  private lastAt?: number;

  constructor(
    private readonly work: ParsedRequest,
    private readonly sink: AnswerSink,
    private readonly timer: Timer,
  ) {}

  head(status: number, contentType: string, source?: StreamSource): void {
    this.sink.head(status, contentType, source);
  }

  event(event: EventSourceMessage): Promise<void> {
    if (TEXT_FIELD.test(event.data)) {
      this.tokens++;
      this.lastAt = this.timer.now();
      this.firstAt ??= this.lastAt;
    }
    return this.sink.event(event);
  }

  whole(body: Buffer): void {
    this.firstAt ??= this.timer.now();
    const tail = body.subarray(-USAGE_TAIL_BYTES).toString('utf8');
    this.tokens = Number(USAGE_FIELD.exec(tail)?.[1] ?? 0);
    this.sink.whole(body);
  }

  /** Returns the metrics of the request after it ended with `outcome`. */
  observation(outcome: Outcome): RequestResult {
    const {serviceClass, workspace, arrivedAt} = this.work;
    const now = this.timer.now();
    const times = {...this.tokenTimes(), completionMs: now - arrivedAt};
    const targetsMet = meetsTargets(
      serviceClass.targets,
      times,
      this.timer.wallNow(),
    );
    return {
      class: serviceClass.name,
      tier: serviceClass.tier,
      workspace: workspace.name,
      outcome,
      attained: outcome === Outcome.Completed && targetsMet,
      ...times,
      tokens: this.tokens,
    };
  }

  private tokenTimes() {
    if (this.firstAt === undefined) return {};
    const firstTokenMs = this.firstAt - this.work.arrivedAt;
    if (this.lastAt === undefined || this.tokens < 2) return {firstTokenMs};
    const betweenTokensMs = (this.lastAt - this.firstAt) / (this.tokens - 1);
    return {firstTokenMs, betweenTokensMs};
  }
}
