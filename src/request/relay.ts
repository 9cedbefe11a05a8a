import {createParser, type EventSourceMessage} from 'eventsource-parser';

/** Data of the event that ends a whole streamed answer. */
export const STREAM_END = '[DONE]';

/** How far the stream of one generation has come. */
export class StreamProgress {
  /** Id of the last event passed on; undefined before the first. */
  lastEventId?: string;
  /** Events passed on. */
  events = 0;
  /** Whether the proper end has arrived. */
  ended = false;
  /** Whether an event without id makes an exact continuation impossible. */
  private broken = false;

  /** Whether the stream can be continued at the exact place. */
  get resumable(): boolean {
    return !this.ended && !this.broken;
  }

  take(event: EventSourceMessage): void {
    if (event.data === STREAM_END) {
      this.ended = true;
      return;
    }
    this.events++;
    if (event.id === undefined) this.broken = true;
    else this.lastEventId = event.id;
  }
}

/**
 * Passes the events of a stream on, one after the other, until it ends. Events
 * after the proper end are dropped.
 */
export async function relayEvents(
  body: AsyncIterable<Buffer>,
  progress: StreamProgress,
  heard: () => void,
  deliver: (event: EventSourceMessage) => Promise<void>,
): Promise<void> {
  const pending: EventSourceMessage[] = [];
  const decoder = new TextDecoder();
  const parser = createParser({onEvent: event => pending.push(event)});
  for await (const chunk of body) {
    heard();
    parser.feed(decoder.decode(chunk, {stream: true}));
    for (const event of pending.splice(0)) {
      if (progress.ended) return;
      progress.take(event);
      await deliver(event);
    }
    heard();
  }
}
