import type {LogRecord} from '../platform/index.js';
import {
  leaseRecordSchema,
  type LeaseGrant,
  type LeaseRecord,
} from './record.js';

/** A lease according to the records of the log. */
export interface Lease {
  pool: string;
  holder: string;
  /** Fencing number: offset of the grant, higher for each new holder. */
  fencing: number;
  released: boolean;
}

/**
 * The state of all leases, built from records applied in offset order. A grant
 * is valid if and only if there is no other grant and no renewal for its pool
 * between the last offset its writer had read and the grant itself. Every
 * reader of that part of the stream therefore decides alike, without a clock.
 */
export class LeaseTable {
  private readonly leases = new Map<string, Lease>();
  /** Offset of the newest grant or renewal of each pool, valid or not. */
  private readonly newestOffsets = new Map<string, number>();
  /** When this process read that record, in monotonic ms, by pool. */
  private readonly newestReadAt = new Map<string, number>();

  /**
   * Creates the table of a reader that starts reading at offset `startOffset`
   * at `startedAt`, in monotonic ms.
   */
  constructor(
    private readonly startOffset: number,
    private readonly startedAt: number,
  ) {}

  /** The lease of a pool, or undefined if it is not known to have one. */
  lease(pool: string): Lease | undefined {
    return this.leases.get(pool);
  }

  /**
   * Applies a record read at `now`, in monotonic ms. Returns the parsed record,
   * or undefined if it is malformed.
   */
  apply({offset, value}: LogRecord, now: number): LeaseRecord | undefined {
    const parsed = leaseRecordSchema.safeParse(value);
    if (!parsed.success) return undefined;
    this.applyRecord(offset, parsed.data, now);
    return parsed.data;
  }

  /**
   * Whether `holder` may request the lease of a pool: the lease was released,
   * `holder` was its last holder, or no grant or renewal for the pool has been
   * read for `expiryMs`. False until this reader has read for `expiryMs`, unless
   * it started at the beginning of the stream.
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
    // This reader does not know the records before `startOffset`.
    if (newest === undefined) return upTo >= this.startOffset - 1;
    return newest <= upTo;
  }

  private applyGrant(offset: number, {pool, holder}: LeaseGrant): void {
    this.leases.set(pool, {pool, holder, fencing: offset, released: false});
  }

  /**
   * Adopts the lease of a renewal if its fencing number is higher than the known
   * one: a holder renews only leases whose grant it found valid.
   */
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
