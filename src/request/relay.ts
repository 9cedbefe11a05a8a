import {createParser, type EventSourceMessage} from 'eventsource-parser';
import {BodyTooLong} from '../upstream/index.js';

/** Data of the last event of a complete streamed answer. */
export const STREAM_END = '[DONE]';

/** Longest event, in bytes. */
const EVENT_LIMIT_BYTES = 256 * 1024;

/** Progress of the stream of one generation, from which it can be resumed. */
export class StreamProgress {
  /** Id of the last event forwarded; undefined before the first. */
  lastEventId?: string;
  /** Number of events forwarded, without the last event `[DONE]`. */
  events = 0;
  /** Whether [[STREAM_END]] has arrived. */
  ended = false;
  /** Whether an event had no id, so that the stream can't be resumed. */
  private missesEventId = false;

  /** Whether the stream can be resumed without gaps or repeated events. */
  get resumable(): boolean {
    return !this.ended && !this.missesEventId;
  }

  /** Records an event that is forwarded. */
  record(event: EventSourceMessage): void {
    if (event.data === STREAM_END) {
      this.ended = true;
      return;
    }
    this.events++;
    if (event.id === undefined) this.missesEventId = true;
    else this.lastEventId = event.id;
  }
}

/**
 * Parses the events of a stream and delivers them in order. Events after
 * [[STREAM_END]] are dropped. `onBytes` is called before and after the events
 * of each chunk are delivered, so that the time of the delivery isn't counted
 * as silence of the upstream afterwards. Throws if an event is too long, since
 * it is kept until its end.
 */
export async function relayEvents(
  body: AsyncIterable<Buffer>,
  progress: StreamProgress,
  onBytes: () => void,
  deliver: (event: EventSourceMessage) => Promise<void>,
): Promise<void> {
  const pending: EventSourceMessage[] = [];
  const decoder = new TextDecoder();
  /** Bytes since the end of an event or comment. */
  let heldBytes = 0;
  const parser = createParser({
    onEvent: event => {
      heldBytes = 0;
      pending.push(event);
    },
    onComment: () => (heldBytes = 0),
  });
  for await (const chunk of body) {
    onBytes();
    heldBytes += chunk.length;
    parser.feed(decoder.decode(chunk, {stream: true}));
    if (heldBytes > EVENT_LIMIT_BYTES) throw new BodyTooLong(EVENT_LIMIT_BYTES);
    for (const event of pending.splice(0)) {
      if (progress.ended) return;
      progress.record(event);
      await deliver(event);
    }
    onBytes();
  }
}
