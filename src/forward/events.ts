const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = 'id:';

/** Whole events that were cut from a stream. */
export interface Cut {
  /** Bytes of whole events; empty if none has ended. */
  bytes: Buffer;
  /** Number of whole events. */
  events: number;
  /** Id of the last of them that has one. */
  lastEvent?: string;
}

const EMPTY = Buffer.alloc(0);

/**
 * Cuts a stream of server-sent events where an event ends, so that what is
 * delivered never ends within an event.
 */
export class EventSplitter {
  private rest: Buffer = EMPTY;

  /** Takes in bytes and returns the events that are whole now. */
  push(chunk: Buffer): Cut {
    const bytes =
      this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    const ends = eventEnds(bytes);
    const end = ends.at(-1) ?? 0;
    this.rest = bytes.subarray(end);
    const whole = bytes.subarray(0, end);
    const lastEvent = lastEventId(whole);
    return {
      bytes: whole,
      events: ends.length,
      ...(lastEvent === undefined ? {} : {lastEvent}),
    };
  }

  /** Bytes after the last whole event. */
  remainder(): Buffer {
    return this.rest;
  }
}

/** Offsets right after each blank line. */
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

function lastEventId(whole: Buffer): string | undefined {
  const text = whole.toString('latin1');
  let start = text.lastIndexOf(`\n${ID_FIELD}`);
  if (start >= 0) start += 1;
  else if (text.startsWith(ID_FIELD)) start = 0;
  else return undefined;
  const end = text.indexOf('\n', start);
  return text.slice(start + ID_FIELD.length, end).trim();
}
