import type {KeyedRecord} from './feed.js';

/** Most changes kept for peers that missed them. */
const MAX_CHANGES = 512;
/** Most bytes of values kept; one larger record is kept alone. */
const MAX_BYTES = 2 * 1024 * 1024;

/**
 * The recent records of a topic that changed something. Most records of a topic
 * are heartbeats, which peers needn't be told of: who has every change before
 * an offset knows the topic up to there.
 */
export class ChangeLog {
  /** Offset after the last record that was read. */
  end = 0;
  /** All changes from this offset on are kept. */
  since = 0;
  private changes: KeyedRecord[] = [];
  /** Changes that came before the records up to them were read. */
  private early: KeyedRecord[] = [];
  private bytes = 0;

  /** Offset after the last kept change; [[since]] if there is none. */
  get changedTo(): number {
    const last = this.changes.at(-1);
    return last === undefined ? this.since : last.offset + 1;
  }

  /** Starts anew after a snapshot, whose changes are not known one by one. */
  restart(end: number): void {
    this.end = end;
    this.since = end;
    this.changes = [];
    this.early = [];
    this.bytes = 0;
  }

  /**
   * Adds changes without moving the end. The records that make them have no
   * effect once they are read, so peers get the changes along with these.
   */
  addEarly(changes: readonly KeyedRecord[]): void {
    this.early.push(...changes);
  }

  /** Adds the changes up to the offset `end`, in the order of the topic. */
  append(changes: readonly KeyedRecord[], end: number): void {
    const offset = this.end;
    const early = end > offset ? this.early.splice(0) : [];
    this.end = end;
    for (const change of [
      ...early.map(record => ({...record, offset})),
      ...changes,
    ]) {
      this.changes.push(change);
      this.bytes += change.value?.length ?? 0;
    }
    this.dropOldest();
  }

  /** Drops the oldest changes at once, as a page may bring very many. */
  private dropOldest(): void {
    const {changes} = this;
    let count = 0;
    while (
      changes.length - count > MAX_CHANGES ||
      (this.bytes > MAX_BYTES && changes.length - count > 1)
    ) {
      this.bytes -= changes[count]?.value?.length ?? 0;
      count++;
    }
    const last = changes.splice(0, count).at(-1);
    if (last !== undefined) this.since = last.offset + 1;
  }

  /** Changes from an offset on; undefined if some are no longer kept. */
  from(offset: number): KeyedRecord[] | undefined {
    if (offset < this.since) return undefined;
    return this.changes.filter(change => change.offset >= offset);
  }
}
