import type {Timer} from '../timer/index.js';
import type {StreamOrigin} from './origin.js';

/** Most streams that are remembered; the oldest are dropped first. */
const MAX_STREAMS = 50_000;

/** The origin of a stream, as long as its caller may take it up. */
export interface OriginRecord {
  key: string;
  origin: StreamOrigin;
  /** In monotonic ms. */
  expiresAt: number;
}

/** Origins of streams that were begun lately. */
export class OriginLog {
  private readonly records = new Map<string, OriginRecord>();

  constructor(private readonly timer: Timer) {}

  get size(): number {
    return this.records.size;
  }

  add(record: OriginRecord): void {
    this.records.delete(record.key);
    this.records.set(record.key, record);
    this.dropOldest();
  }

  get(key: string): StreamOrigin | undefined {
    const record = this.records.get(key);
    if (record === undefined) return undefined;
    if (record.expiresAt > this.timer.now()) return record.origin;
    this.records.delete(key);
    return undefined;
  }

  /** Records of streams of a service that may be taken up. */
  ofService(service: string): OriginRecord[] {
    const now = this.timer.now();
    return [...this.records.values()].filter(
      ({origin, expiresAt}) => origin.service === service && expiresAt > now,
    );
  }

  private dropOldest(): void {
    const now = this.timer.now();
    for (const [key, {expiresAt}] of this.records) {
      if (expiresAt > now && this.records.size <= MAX_STREAMS) return;
      this.records.delete(key);
    }
  }
}
