/**
 * Time that a reply may wait for the replies before it, in ms. Peers that wait
 * longer do better to ask another instance.
 */
const MAX_WAIT_MS = 150;
/** Share of the link that replies to peers may take; callers need the rest. */
const LINK_SHARE = 0.5;
/** Replies up to this size are always sent, in bytes. */
const MAX_SMALL_BYTES = 4_096;

/**
 * Decides which replies to peers this instance sends over its own link. A
 * change that doesn't fit into a message is asked for by everyone who hears of
 * it at once. Peers whose reply would not arrive in time are refused, and ask
 * others, who have received the change meanwhile.
 */
export class TransferQueue {
  private busyUntil = -Infinity;

  /** `linkBytesPerSecond`: capacity of the instance's own link. */
  constructor(private readonly linkBytesPerSecond: number) {}

  /**
   * Whether a reply of `bytes` is sent at the monotonic time `now`, to a peer
   * that waits for `timeoutMs` ms.
   */
  admit(bytes: number, timeoutMs: number, now: number): boolean {
    const startsAt = Math.max(now, this.busyUntil);
    const waitMs = startsAt - now;
    const bytesPerMs = this.linkBytesPerSecond / 1_000;
    const isSmall = bytes <= MAX_SMALL_BYTES;
    const arrives = waitMs + bytes / bytesPerMs <= timeoutMs;
    if (!isSmall && (waitMs > MAX_WAIT_MS || !arrives)) return false;
    this.busyUntil = startsAt + bytes / (bytesPerMs * LINK_SHARE);
    return true;
  }
}
