/**
 * Time that a reply may wait for the replies before it, in ms. Who waited
 * longer would ask again, and the bytes sent so far would be wasted.
 */
const MAX_WAIT_MS = 150;
/** Share of the link that replies to peers may take; callers need the rest. */
const LINK_SHARE = 0.5;

/**
 * Decides which large replies to peers this instance sends. The load pattern
 * it answers: after a change that doesn't fit into a message, everyone who
 * hears of it asks at once. Beyond what the link carries in time, peers are
 * refused at once and ask others, who have received the change meanwhile.
 */
export class TransferQueue {
  private busyUntil = -Infinity;

  /** `linkBytesPerSecond`: capacity of the instance's own link. */
  constructor(private readonly linkBytesPerSecond: number) {}

  /** Whether a reply of `bytes` may be sent at the monotonic time `now`. */
  admit(bytes: number, now: number): boolean {
    const startsAt = Math.max(now, this.busyUntil);
    if (startsAt - now > MAX_WAIT_MS) return false;
    const bytesPerMs = (this.linkBytesPerSecond * LINK_SHARE) / 1_000;
    this.busyUntil = startsAt + bytes / bytesPerMs;
    return true;
  }
}
