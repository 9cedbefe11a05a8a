import type {RegistryEntry} from '../../src/registry/index.js';
import {EntryState, supersedes} from '../../src/registry/index.js';
import {Repetition, type RoutingTable} from '../../src/route/index.js';
import type {SimulatedWriters} from './simulatedwriters.js';

/** Any route whose callers need a key. */
const ROUTE = {
  name: 'r',
  host: 'h',
  prefix: '/',
  repetition: Repetition.Idempotent,
  streaming: false,
  timeoutMs: 1_000,
  targetMs: 500,
  priority: 0,
  splits: [],
  attemptsLimit: 1,
  open: false,
};

/** Checks that one instance never forgets what it has known. */
export class Audit {
  /** What the instance did that it must not do, with the time. */
  readonly faults: string[] = [];
  private version = 0;
  private readonly knownKeys = new Set<string>();
  private readonly revokedKeys = new Set<string>();
  /** The newest entry seen of each upstream. */
  private readonly newest = new Map<string, RegistryEntry>();
  private usable = new Map<string, RegistryEntry>();
  /** Upstreams that have ended and are no longer used here. */
  private readonly departed = new Set<string>();

  constructor(
    private readonly now: () => number,
    private readonly writers: SimulatedWriters,
    /** Whether the instance is connected for long enough to learn of entries. */
    private readonly mayLearn: () => boolean,
  ) {}

  /** Takes note of the configuration in force. */
  noteTable(table: RoutingTable): void {
    if (table.version < this.version) {
      this.report(`version ${table.version} after ${this.version}`);
    }
    this.version = table.version;
    const keys = table.document.workspaces?.flatMap(({keys}) => keys) ?? [];
    for (const key of keys) this.knownKeys.add(key);
    for (const key of this.knownKeys) {
      const isAccepted =
        table.authenticate(ROUTE, key).type !== 'unauthenticated';
      if (!isAccepted) this.revokedKeys.add(key);
      else if (this.revokedKeys.has(key)) this.report(`accepts ${key} again`);
    }
  }

  /** Takes note of the upstreams that may be used. */
  noteUsable(entries: Iterable<RegistryEntry>): void {
    const usable = new Map<string, RegistryEntry>();
    for (const entry of entries) {
      usable.set(entry.id, entry);
      const newest = this.newest.get(entry.id);
      if (newest !== undefined && !supersedes(entry, newest)) {
        this.report(`${nameOf(entry)} went back to ${entry.sequence}`);
      } else {
        this.newest.set(entry.id, entry);
      }
      if (this.departed.has(nameOf(entry))) {
        this.report(`${nameOf(entry)} is used again after its end`);
      }
    }
    for (const entry of this.usable.values()) {
      if (!usable.has(entry.id)) this.noteDropped(entry);
    }
    this.usable = usable;
  }

  private noteDropped(entry: RegistryEntry): void {
    const running = this.writers.runningEntry(entry.id);
    const isRunning =
      running !== undefined && running.startedAt === entry.startedAt;
    if (!isRunning) this.departed.add(nameOf(entry));
    else if (
      entry.state === EntryState.Ready &&
      this.mayLearn() &&
      !this.writers.mayBeMissed(entry.id)
    ) {
      this.report(`${nameOf(entry)} was dropped, but is running`);
    }
  }

  private report(fault: string): void {
    this.faults.push(`${fault} at ${Math.round(this.now())} ms`);
  }
}

function nameOf({id, startedAt = 0}: RegistryEntry): string {
  return `${id}/${startedAt}`;
}
