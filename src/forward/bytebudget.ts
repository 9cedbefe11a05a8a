import type {Timer} from '../timer/index.js';
import {BlockPool} from './bytes.js';

/** Bodies up to this size, in bytes, may use the whole budget. */
const SMALL_BODY_BYTES = 16 * 1024;
/** Share of the budget that larger bodies may use. */
const LARGE_BODY_SHARE = 0.8;

/** Bytes that one request holds of a [[ByteBudget]]. */
export interface ByteHold {
  /**
   * Takes bytes for a body that is being received; false if the request has to
   * be refused for them.
   */
  take(bytes: number): boolean;
  /** Keeps the bytes until they are released: the body is complete. */
  settle(): void;
  release(): void;
}

/** A hold, and what decides which one has to yield. */
interface Holder {
  bytes: number;
  /** When it began, in monotonic ms. */
  readonly startedAt: number;
  /** Called when it has to yield; absent once its body is complete. */
  evict?: (() => void) | undefined;
}

/**
 * Memory that an instance gives to the bodies of requests. Where it is used up,
 * the body that has not arrived in whole and held most for longest is refused.
 */
export class ByteBudget {
  /** Blocks for bodies that are being received. */
  readonly blocks = new BlockPool();
  private readonly holders = new Set<Holder>();
  private held = 0;

  constructor(
    private readonly capacityBytes: number,
    private readonly timer: Pick<Timer, 'now'>,
  ) {}

  /** Bytes that are held now. */
  get heldBytes(): number {
    return this.held;
  }

  /** Begins a hold without bytes; `evict` is called when it has to yield. */
  open(evict: () => void): ByteHold {
    const startedAt = this.timer.now();
    const holder: Holder = {bytes: 0, startedAt, evict};
    this.holders.add(holder);
    return {
      take: bytes => this.take(holder, bytes),
      settle: () => delete holder.evict,
      release: () => this.release(holder),
    };
  }

  private take(holder: Holder, bytes: number): boolean {
    while (this.exceeds(holder.bytes + bytes, bytes)) {
      const yielding = this.chooseYielding();
      // A single body is always taken, whatever its size.
      if (this.held === holder.bytes) break;
      if (yielding === undefined || yielding === holder) return false;
      const {evict} = yielding;
      this.release(yielding);
      evict?.();
    }
    holder.bytes += bytes;
    this.held += bytes;
    return true;
  }

  private exceeds(bodyBytes: number, bytes: number): boolean {
    const share = bodyBytes <= SMALL_BODY_BYTES ? 1 : LARGE_BODY_SHARE;
    return this.held + bytes > this.capacityBytes * share;
  }

  /** Of the bodies that are being received, the one with most bytes x time. */
  private chooseYielding(): Holder | undefined {
    const now = this.timer.now();
    let chosen: Holder | undefined;
    let most = -1;
    for (const holder of this.holders) {
      if (holder.evict === undefined) continue;
      const weight = holder.bytes * (1 + now - holder.startedAt);
      if (weight <= most) continue;
      most = weight;
      chosen = holder;
    }
    return chosen;
  }

  private release(holder: Holder): void {
    if (!this.holders.delete(holder)) return;
    this.held -= holder.bytes;
    holder.bytes = 0;
  }
}
