import type {KeyedRecord} from './feed.js';
import type {FollowerListener} from './followerlistener.js';
import type {KnownRecord} from './topicstatus.js';

/** Most memory for the newest records of all keys of a topic, in bytes. */
export const MAX_TOPIC_BYTES = 16 * 1024 * 1024;
/** Memory of a record beside its key and value, in bytes. */
const RECORD_OVERHEAD_BYTES = 256;

/** Memory that the newest record of a key takes, in bytes. */
export function memoryOf({key, value}: KeyedRecord): number {
  return value === undefined
    ? 0
    : key.length + value.length + RECORD_OVERHEAD_BYTES;
}

/** Passes the records of a topic on, and counts the memory that they take. */
export class TopicContent implements FollowerListener {
  /** By key. */
  private readonly sizes = new Map<string, number>();
  private bytes = 0;

  constructor(
    private readonly listener: FollowerListener,
    readonly limitBytes: number,
  ) {}

  /** Whether the topic is within its bound once it has the records as well. */
  hasRoomFor(records: readonly KnownRecord[]): boolean {
    const {limitBytes, bytes} = this;
    const grown = [...newestSizes(records)].reduce(
      (sum, [key, size]) => sum + size - (this.sizes.get(key) ?? 0),
      bytes,
    );
    return grown <= Math.max(limitBytes, bytes);
  }

  replaced(records: KnownRecord[], outdated: boolean): KeyedRecord[] {
    this.sizes.clear();
    this.bytes = 0;
    this.count(records);
    return this.listener.replaced(records, outdated);
  }

  added(records: KnownRecord[]): KeyedRecord[] {
    this.count(records);
    return this.listener.added(records);
  }

  known(): KnownRecord[] {
    return this.listener.known();
  }

  private count(records: readonly KnownRecord[]): void {
    for (const [key, size] of newestSizes(records)) {
      this.bytes += size - (this.sizes.get(key) ?? 0);
      if (size === 0) this.sizes.delete(key);
      else this.sizes.set(key, size);
    }
  }
}

/** Memory by key; records that the store lacks are kept for a short time only. */
function newestSizes(records: readonly KnownRecord[]): Map<string, number> {
  return new Map(
    records
      .filter(({standing}) => standing === undefined)
      .map(record => [record.key, memoryOf(record)]),
  );
}
