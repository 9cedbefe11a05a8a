/** Whether an upstream takes new work, by its own word. */
export enum EntryState {
  Ready = 'ready',
  Draining = 'draining',
}

/** What an upstream says of itself. */
export interface Entry {
  /** Names one start of one upstream. */
  id: string;
  service: string;
  host: string;
  port: number;
  zone: string;
  /** Requests it serves at once. */
  slots: number;
  state: EntryState;
  /** Time for which it stays slow after its start, in ms. */
  coldMs: number;
  /** Start of the process, Unix ms; undefined if it doesn't say. */
  startedAt?: number;
  /** Counts what it said since its start. */
  sequence: number;
}

/** Whether `next` was said after `known`, by the same upstream. */
export function supersedes(next: Entry, known: Entry): boolean {
  const [start, knownStart] = [next.startedAt ?? 0, known.startedAt ?? 0];
  if (start !== knownStart) return start > knownStart;
  return next.sequence >= known.sequence;
}

/** Whether both entries are of one start of one upstream. */
export function isSameStart(a: Entry, b: Entry): boolean {
  return (
    a.id === b.id &&
    a.startedAt === b.startedAt &&
    a.service === b.service &&
    a.host === b.host &&
    a.port === b.port
  );
}
