import type {RegistryEntry} from '../registry/index.js';
import {ProcessMap} from './processmap.js';

/**
 * Upstreams that announced in a response that they leave. A notice concerns one
 * process: it ends when the store lists a later process, or when it removes an
 * entry that states no start time, but never with time or a later entry of the
 * same process.
 */
export class LeaveNotices {
  /** When a process first announced that it leaves, in monotonic ms. */
  private readonly noticedAt = new ProcessMap<number>();

  /** Records a notice at `now`; returns whether it is the first. */
  add(entry: RegistryEntry, now: number): boolean {
    if (this.covers(entry)) return false;
    this.noticedAt.set(entry, now);
    return true;
  }

  /** Whether the process of the entry announced that it leaves. */
  covers(entry: RegistryEntry): boolean {
    return this.noticedAt.get(entry) !== undefined;
  }

  /**
   * Whether a leaving process still takes requests at `now` if no other upstream
   * is left: it serves for `drainMs` ms after its notice.
   */
  isLastResort(entry: RegistryEntry, now: number, drainMs: number): boolean {
    const at = this.noticedAt.get(entry);
    return at !== undefined && now < at + drainMs;
  }

  entryRemoved(entry: RegistryEntry): void {
    this.noticedAt.entryRemoved(entry);
  }
}
