const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = 'id:';

/** The complete events at the head of the buffered stream. */
export interface CompleteEvents {
  /** Bytes of the complete events; empty if there is none. */
  bytes: Buffer;
  /** Number of complete events. */
  events: number;
  /** Last event id among them; absent if none has an id. */
  lastEvent?: string;
}

const EMPTY = Buffer.alloc(0);

/**
 * Splits a stream of server-sent events after complete events, so that a caller
 * never receives a partial event before the upstream changes.
 */
export class EventSplitter {
  private pending: Buffer = EMPTY;

  /** Adds bytes and returns the events that they complete. */
  push(chunk: Buffer): CompleteEvents {
    const bytes =
      this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    const ends = eventEnds(bytes);
    const end = ends.at(-1) ?? 0;
    this.pending = bytes.subarray(end);
    const complete = bytes.subarray(0, end);
    const lastEvent = lastEventId(complete);
    return {
      bytes: complete,
      events: ends.length,
      ...(lastEvent === undefined ? {} : {lastEvent}),
    };
  }

  /** Bytes after the last complete event. */
  remainder(): Buffer {
    return this.pending;
  }
}

/** Offsets after each blank line, which ends an event. */
function eventEnds(bytes: Buffer): number[] {
  const ends: number[] = [];
  let from = 0;
  for (;;) {
    const at = bytes.indexOf(LINE_FEED, from);
    if (at < 0) return ends;
    from = at + 1;
    if (bytes[from] === CARRIAGE_RETURN) from++;
    if (bytes[from] !== LINE_FEED) continue;
    from++;
    ends.push(from);
  }
}

/** Id of the last event that has one. */
function lastEventId(complete: Buffer): string | undefined {
  const text = complete.toString('latin1');
  let start = text.lastIndexOf(`\n${ID_FIELD}`);
  if (start >= 0) start += 1;
  else if (text.startsWith(ID_FIELD)) start = 0;
  else return undefined;
  const end = text.indexOf('\n', start);
  return text.slice(start + ID_FIELD.length, end).trim();
}
