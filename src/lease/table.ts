import type {LogRecord} from '../platform/index.js';
import {
  leaseRecordSchema,
  type LeaseGrant,
  type LeaseRecord,
} from './record.js';

/** A lease as the log's records tell it. */
export interface Lease {
  pool: string;
  holder: string;
  /** Offset of the grant: grows from holder to holder. */
  fencing: number;
  released: boolean;
}

/**
 * The state of all leases, from records applied in offset order. A grant is
 * valid exactly when no other grant and no renewal for its pool lies between
 * the offset its writer had read up to and the grant itself, so every reader
 * of that stretch of the stream reaches the same verdict without any clock.
 */
export class LeaseTable {
  private readonly leases = new Map<string, Lease>();
  /** Offset of the newest grant or renewal of each pool, valid or not. */
  private readonly newestOffsets = new Map<string, number>();
  /** When that record was read here, monotonic ms. */
  private readonly newestReadAt = new Map<string, number>();

  /**
   * Opens a register of a reader that starts at offset `start` at the
   * monotonic time `openedAt`.
   */
  constructor(
    private readonly startOffset: number,
    private readonly startedAt: number,
  ) {}

  /** The lease of a pool, or undefined when no valid grant was seen. */
  lease(pool: string): Lease | undefined {
    return this.leases.get(pool);
  }

  /** Applies a record read at `now`; returns undefined if it is malformed. */
  apply({offset, value}: LogRecord, now: number): LeaseRecord | undefined {
    const parsed = leaseRecordSchema.safeParse(value);
    if (!parsed.success) return undefined;
    this.applyRecord(offset, parsed.data, now);
    return parsed.data;
  }

  /**
   * Whether `holder` may ask for the lease of a pool: it was released, or was
   * its own, or no record of a holder was heard for `quietMs`.
   */
  isFree(pool: string, holder: string, now: number, expiryMs: number): boolean {
    const readLongEnough =
      this.startOffset === 0 || now - this.startedAt >= expiryMs;
    if (!readLongEnough) return false;
    const lease = this.leases.get(pool);
    if (lease?.released === true || lease?.holder === holder) return true;
    const readAt = this.newestReadAt.get(pool);
    return readAt === undefined || now - readAt >= expiryMs;
  }

  private applyRecord(offset: number, record: LeaseRecord, now: number): void {
    switch (record.type) {
      case 'grant':
        if (this.isValid(record)) this.applyGrant(offset, record);
        this.noteRecord(record.pool, offset, now);
        return;
      case 'renewal':
        for (const {pool, fencing} of record.leases) {
          this.applyRenewal(pool, record.holder, fencing);
          this.noteRecord(pool, offset, now);
        }
        return;
      case 'release':
        for (const {pool, fencing} of record.leases) {
          const lease = this.leases.get(pool);
          if (lease?.fencing === fencing) lease.released = true;
        }
        return;
    }
  }

  private isValid({pool, upTo}: LeaseGrant): boolean {
    const newest = this.newestOffsets.get(pool);
    // Records between `upTo` and the start of reading are unknown here.
    if (newest === undefined) return upTo >= this.startOffset - 1;
    return newest <= upTo;
  }

  private applyGrant(offset: number, {pool, holder}: LeaseGrant): void {
    this.leases.set(pool, {pool, holder, fencing: offset, released: false});
  }

  /** A holder renews only what it found valid, so a newer number is proof. */
  private applyRenewal(pool: string, holder: string, fencing: number): void {
    const knownFencing = this.leases.get(pool)?.fencing ?? -1;
    if (fencing <= knownFencing) return;
    this.leases.set(pool, {pool, holder, fencing, released: false});
  }

  private noteRecord(pool: string, offset: number, now: number): void {
    this.newestOffsets.set(pool, offset);
    this.newestReadAt.set(pool, now);
  }
}
