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
  private readonly newest = new Map<string, number>();
  /** When that record was read here, monotonic ms. */
  private readonly heardAt = new Map<string, number>();

  /**
   * Opens a register of a reader that starts at offset `start` at the
   * monotonic time `openedAt`.
   */
  constructor(
    private readonly start: number,
    private readonly openedAt: number,
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
  isFree(pool: string, holder: string, now: number, quietMs: number): boolean {
    const settled = this.start === 0 || now - this.openedAt >= quietMs;
    if (!settled) return false;
    const lease = this.leases.get(pool);
    if (lease?.released === true || lease?.holder === holder) return true;
    const heardAt = this.heardAt.get(pool);
    return heardAt === undefined || now - heardAt >= quietMs;
  }

  private applyRecord(offset: number, record: LeaseRecord, now: number): void {
    switch (record.type) {
      case 'grant':
        if (this.isValid(record)) this.grant(offset, record);
        this.hear(record.pool, offset, now);
        return;
      case 'renewal':
        for (const {pool, fencing} of record.leases) {
          this.renew(pool, record.holder, fencing);
          this.hear(pool, offset, now);
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
    const newest = this.newest.get(pool);
    // Records between `upTo` and the start of reading are unknown here.
    if (newest === undefined) return upTo >= this.start - 1;
    return newest <= upTo;
  }

  private grant(offset: number, {pool, holder}: LeaseGrant): void {
    this.leases.set(pool, {pool, holder, fencing: offset, released: false});
  }

  /** A holder renews only what it found valid, so a newer number is proof. */
  private renew(pool: string, holder: string, fencing: number): void {
    const known = this.leases.get(pool)?.fencing ?? -1;
    if (fencing <= known) return;
    this.leases.set(pool, {pool, holder, fencing, released: false});
  }

  private hear(pool: string, offset: number, now: number): void {
    this.newest.set(pool, offset);
    this.heardAt.set(pool, now);
  }
}
