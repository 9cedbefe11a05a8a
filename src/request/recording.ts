import type {EventSourceMessage} from 'eventsource-parser';
import type {RecordedAnswer} from '../claim/index.js';
import type {AnswerSink, StreamSource} from './sink.js';

const RECORDED_LIMIT_BYTES = 64 * 1024;

/** Returns an event as it is written to a caller. */
export function formatEvent(event: EventSourceMessage): string {
  const id = event.id === undefined ? '' : `id: ${event.id}\n`;
  const type = event.event === undefined ? '' : `event: ${event.event}\n`;
  return `${id}${type}data: ${event.data}\n\n`;
}

/** Keeps an answer, when it is not too large, while it passes on to a sink. */
export class Recording implements AnswerSink {
  private status = 200;
  private contentType = '';
  private readonly parts: Buffer[] = [];
  private size = 0;

  constructor(private readonly sink: AnswerSink) {}

  head(status: number, contentType: string, source?: StreamSource): void {
    this.status = status;
    this.contentType = contentType;
    this.sink.head(status, contentType, source);
  }

  async event(event: EventSourceMessage): Promise<void> {
    this.keep(Buffer.from(formatEvent(event)));
    await this.sink.event(event);
  }

  whole(body: Buffer): void {
    this.keep(body);
    this.sink.whole(body);
  }

  /** The answer so far; undefined when it grew too large. */
  answer(): RecordedAnswer | undefined {
    if (this.size > RECORDED_LIMIT_BYTES) return undefined;
    const body = Buffer.concat(this.parts).toString('base64');
    return {status: this.status, contentType: this.contentType, body};
  }

  private keep(part: Buffer): void {
    this.size += part.length;
    if (this.size > RECORDED_LIMIT_BYTES) this.parts.length = 0;
    else this.parts.push(part);
  }
}
