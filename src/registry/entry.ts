/** Whether an upstream accepts new requests, as it reports itself. */
export enum EntryState {
  Ready = 'ready',
  Draining = 'draining',
}

/** The entry by which an upstream registers itself. */
export interface RegistryEntry {
  /** Key of the entry. A restarted upstream may use its key again. */
  id: string;
  service: string;
  host: string;
  port: number;
  zone: string;
  /** Version of its software, which nothing orders. */
  softwareVersion: string;
  /** Requests that it serves concurrently. */
  slots: number;
  state: EntryState;
  /** Remaining warm-up time, in ms, during which it responds slowly. */
  coldMs: number;
  /** Start of the process, in Unix ms, if the upstream reports it. */
  startedAt?: number;
  /** Increases with each entry that the process writes. */
  sequence: number;
}

/** Whether `next` is at least as recent as `known`, an entry of the same id. */
export function supersedes(next: RegistryEntry, known: RegistryEntry): boolean {
  const [start, knownStart] = [next.startedAt ?? 0, known.startedAt ?? 0];
  if (start !== knownStart) return start > knownStart;
  return next.sequence >= known.sequence;
}

/** Whether both entries describe the same process of an upstream. */
export function isSameProcess(a: RegistryEntry, b: RegistryEntry): boolean {
  return (
    a.id === b.id &&
    a.startedAt === b.startedAt &&
    a.service === b.service &&
    a.host === b.host &&
    a.port === b.port &&
    a.softwareVersion === b.softwareVersion
  );
}

/** Whether the process of `entry` has ended if that of `departed` has. */
export function hasEndedWith(
  entry: RegistryEntry,
  departed: RegistryEntry,
): boolean {
  return (
    isSameProcess(entry, departed) ||
    (entry.startedAt ?? 0) < (departed.startedAt ?? 0)
  );
}

/**
 * Whether both entries of the same id mean the same for its use: they differ in
 * no more than the sequence and the remaining warm-up time.
 */
export function hasSameEffect(a: RegistryEntry, b: RegistryEntry): boolean {
  return (
    isSameProcess(a, b) &&
    a.zone === b.zone &&
    a.slots === b.slots &&
    a.state === b.state
  );
}

/**
 * Which of two entries of the same id describes the process that got what was sent
 * at `sentAt`, in Unix ms. An upstream may have been restarted before its entry
 * told that.
 */
export function processAt(
  sentAt: number,
  known: RegistryEntry,
  newest: RegistryEntry,
): RegistryEntry {
  const startedAt = newest.startedAt ?? Infinity;
  return startedAt <= sentAt ? newest : known;
}
