import type {EventSourceMessage} from 'eventsource-parser';
import type {RecordedAnswer} from '../claim/index.js';
import type {AnswerSink, StreamSource} from './sink.js';

/** Answers above this size are forwarded but not recorded. */
const RECORDED_LIMIT_BYTES = 64 * 1024;

/** Formats a server-sent event for the wire. */
export function formatEvent(event: EventSourceMessage): string {
  const id = event.id === undefined ? '' : `id: ${event.id}\n`;
  const type = event.event === undefined ? '' : `event: ${event.event}\n`;
  return `${id}${type}data: ${event.data}\n\n`;
}

/** Records an answer of limited size while forwarding it to a sink. */
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
    this.append(Buffer.from(formatEvent(event)));
    await this.sink.event(event);
  }

  whole(body: Buffer): void {
    this.append(body);
    this.sink.whole(body);
  }

  /** The answer so far; undefined if it is above the size limit. */
  answer(): RecordedAnswer | undefined {
    if (this.size > RECORDED_LIMIT_BYTES) return undefined;
    const body = Buffer.concat(this.parts).toString('base64');
    return {status: this.status, contentType: this.contentType, body};
  }

  private append(part: Buffer): void {
    this.size += part.length;
    if (this.size > RECORDED_LIMIT_BYTES) this.parts.length = 0;
    else this.parts.push(part);
  }
}
