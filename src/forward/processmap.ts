import {
  isSameProcess,
  supersedes,
  type RegistryEntry,
} from '../registry/index.js';

/** Most processes whose values are kept; the oldest value is dropped. */
const MAX_PROCESSES = 4_096;

/**
 * Values by process of an upstream. A value outlives the removal of its entry,
 * since the store may list the same process once more.
 */
export class ProcessMap<Value> {
  private readonly items = new Map<
    string,
    {entry: RegistryEntry; value: Value}
  >();

  get(entry: RegistryEntry): Value | undefined {
    const known = this.items.get(entry.id);
    return known !== undefined && isSameProcess(known.entry, entry)
      ? known.value
      : undefined;
  }

  /** Sets the value of a process, unless a later one of its id has a value. */
  set(entry: RegistryEntry, value: Value): void {
    const known = this.items.get(entry.id);
    if (
      known !== undefined &&
      !isSameProcess(known.entry, entry) &&
      !supersedes(entry, known.entry)
    ) {
      return;
    }
    this.items.delete(entry.id);
    this.items.set(entry.id, {entry, value});
    if (this.items.size <= MAX_PROCESSES) return;
    for (const oldest of this.items.keys()) {
      this.items.delete(oldest);
      return;
    }
  }

  /**
   * Handles the removal of an entry. Without a start time, a later process with
   * the same id can't be told from this one, so its value is dropped.
   */
  entryRemoved({id, startedAt}: RegistryEntry): void {
    if (startedAt === undefined) this.items.delete(id);
  }
}
