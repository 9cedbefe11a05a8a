import {ByteCollector} from './bytes.js';

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const COLON = 0x3a;
/** Fields of events; lines of other fields are ignored. */
const FIELDS = new Map(
  ['data', 'event', 'id', 'retry'].map(name => [name.charCodeAt(0), name]),
);
const ID_FIELD = Buffer.from('id:');
/** Matches the rest of a line; lines end with CR, LF or both. */
const REST_OF_LINE = /^[^\r\n]*/;

/** The complete events at the head of the buffered stream. */
export interface CompleteEvents {
  /** Bytes of the complete events; empty if there is none. */
  bytes: Buffer;
  /** Number of complete events. */
  events: number;
  /** Last event id among them; absent if none has an id. */
  lastEvent?: string;
  /** Whether events without an id follow the last one that has an id. */
  endsWithoutId: boolean;
}

const EMPTY = Buffer.alloc(0);

function isLineEnd(byte: number | undefined): boolean {
  return byte === LINE_FEED || byte === CARRIAGE_RETURN;
}

/** Finds the ends of events in a stream without keeping its bytes. */
export class EventScanner {
  /** Number of complete events so far, of those with a line of a known field. */
  events = 0;
  /** Number of lines so far. */
  lines = 0;
  /** Whether the bytes so far end inside an event. */
  insideEvent = false;
  private lineIsEmpty = true;
  private afterCarriageReturn = false;
  /** Whether a line, which may be a comment, follows the last blank one. */
  private insideBlock = false;
  /** Whether a line of a known field does. */
  private hasField = false;
  /** Whether the last lines before a blank one were neither an event nor comments. */
  private afterStray = false;
  /** The field that the line may have, and how much of its name has come. */
  private field?: string | undefined;
  private fieldLength = 0;

  /**
   * Reads the next bytes. Returns the offset in them after the last blank line
   * that ends an event or a comment; 0 if there is none. Lines that are neither
   * belong to the next one.
   */
  scan(chunk: Buffer): number {
    let end = 0;
    let at = 0;
    while (at < chunk.length) {
      const byte = chunk[at];
      if (!isLineEnd(byte)) {
        at = this.readLine(chunk, at);
        this.afterCarriageReturn = false;
        continue;
      }
      const completesLineEnd = byte === LINE_FEED && this.afterCarriageReturn;
      if (!completesLineEnd) this.endLine();
      this.afterCarriageReturn = byte === CARRIAGE_RETURN;
      at++;
      if (!this.insideBlock && !this.afterStray) end = at;
    }
    return end;
  }

  /** Reads a line on to its end, or to that of the bytes; returns the offset. */
  private readLine(chunk: Buffer, from: number): number {
    let at = from;
    if (this.lineIsEmpty) {
      const byte = chunk[at];
      if (byte !== COLON) this.insideEvent = true;
      this.field = FIELDS.get(byte ?? 0);
      this.fieldLength = 0;
      this.lineIsEmpty = false;
      this.insideBlock = true;
    }
    const {length} = chunk;
    while (this.field !== undefined && at < length && !isLineEnd(chunk[at])) {
      this.readName(chunk[at]);
      at++;
    }
    while (at < length && !isLineEnd(chunk[at])) at++;
    return at;
  }

  /** Reads a byte of a line that began with the name of a field so far. */
  private readName(byte: number | undefined): void {
    const {field = '', fieldLength} = this;
    if (byte === field.charCodeAt(fieldLength)) {
      this.fieldLength++;
      return;
    }
    if (byte === COLON && fieldLength === field.length) this.hasField = true;
    this.field = undefined;
  }

  private endLine(): void {
    this.lines++;
    if (!this.lineIsEmpty) {
      // A line of a name alone is a field without a value.
      if (this.field?.length === this.fieldLength) this.hasField = true;
      this.field = undefined;
      this.lineIsEmpty = true;
      return;
    }
    if (this.insideBlock) this.afterStray = this.insideEvent && !this.hasField;
    if (this.hasField) this.events++;
    this.hasField = false;
    this.insideEvent = false;
    this.insideBlock = false;
  }
}

/**
 * Splits a stream of server-sent events after complete events, so that a caller
 * never receives a partial event before the upstream changes.
 */
export class EventSplitter {
  private readonly scanner = new EventScanner();
  private readonly pending = new ByteCollector();

  /** Adds bytes and returns the events that they complete. */
  push(chunk: Buffer): CompleteEvents {
    const eventsBefore = this.scanner.events;
    const end = this.scanner.scan(chunk);
    if (end === 0) {
      this.pending.push(chunk);
      return {bytes: EMPTY, events: 0, endsWithoutId: false};
    }
    const bytes = this.completeWith(chunk.subarray(0, end));
    this.pending.push(chunk.subarray(end));
    const events = this.scanner.events - eventsBefore;
    return {bytes, events, ...readIds(bytes, events)};
  }

  /** Number of bytes after the last complete event. */
  get pendingBytes(): number {
    return this.pending.length;
  }

  /** Takes the bytes after the last complete event. */
  remainder(): Buffer {
    return this.pending.take();
  }

  private completeWith(bytes: Buffer): Buffer {
    if (this.pending.length === 0) return bytes;
    this.pending.push(bytes);
    return this.pending.take();
  }
}

/** Id of the last of `events` events that has one, and whether others follow. */
function readIds(
  complete: Buffer,
  events: number,
): Pick<CompleteEvents, 'lastEvent' | 'endsWithoutId'> {
  const at = lastIdField(complete);
  if (at === undefined) return {endsWithoutId: events > 0};
  const rest = complete.subarray(at);
  const line = rest.toString('latin1', ID_FIELD.length);
  const [id = ''] = REST_OF_LINE.exec(line) ?? [];
  const scanner = new EventScanner();
  scanner.scan(rest);
  return {lastEvent: id.trim(), endsWithoutId: scanner.events > 1};
}

/** Offset of the last id field; undefined if there is none. */
function lastIdField(bytes: Buffer): number | undefined {
  let at = bytes.lastIndexOf(ID_FIELD);
  while (at > 0) {
    const before = bytes[at - 1];
    if (before === LINE_FEED || before === CARRIAGE_RETURN) return at;
    at = bytes.lastIndexOf(ID_FIELD, at - 1);
  }
  return at === 0 ? 0 : undefined;
}
