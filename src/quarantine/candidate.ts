import type {Crash, CrashedRequest} from './crashlog.js';
import {isRequestPart} from './requestid.js';

/**
 * Crashes with which a part is under suspicion that was answered before or is a
 * first part, unless it is both.
 */
export const PROVEN_SUSPICION_CRASHES = 3;

/** Time from these crashes until all instances know of them, in ms. */
const SUSPICION_DELAY_MS = 1000;

/** Share of the upstreams that a part must have crashed to be rationed. */
const RATIONED_SHARE = 1 / 2;

/** A part that crashed requests have. */
export interface SuspectPart {
  part: string;
  /** Whether it was answered before its crashes. */
  isProven: boolean;
  /** Its position in a prompt, the highest seen. */
  position: number;
  /** Crashes since its last answer, without those that others explain. */
  crashes: number;
}

/** A part of crashed requests, with its crashes. */
export class Candidate {
  readonly crashes: Crash[] = [];
  /** The weight of each request, that of its crash with fewest suspects. */
  readonly requests = new Map<string, number>();
  readonly upstreams = new Set<string>();
  position = 0;
  isFirst = false;
  /** Longest sequence in which each request was sent after the last crash. */
  sequence = 0;
  private sequenceAt = -Infinity;
  /** The last crash of that sequence. */
  private sequenceEnd?: Crash;
  private readonly entries: Array<[Crash, CrashedRequest, number]> = [];

  constructor(
    readonly part: string,
    readonly isProven: boolean,
  ) {}

  /** Adds a crash; crashes come in order of time. */
  add(crash: Crash, request: CrashedRequest, position: number): void {
    this.entries.push([crash, request, position]);
    if (this.crashes.at(-1) !== crash) this.crashes.push(crash);
    const weight = this.requests.get(request.request) ?? 0;
    this.requests.set(
      request.request,
      Math.max(weight, 1 / crash.requests.length),
    );
    this.upstreams.add(crash.upstream);
    this.position = Math.max(this.position, position);
    this.isFirst ||= isFirstPart(this.part, position);
    // Of the requests of a crash, in whatever order, one counts.
    if (crash === this.sequenceEnd || request.sentAt < this.sequenceAt) return;
    this.sequence++;
    this.sequenceAt = crash.at;
    this.sequenceEnd = crash;
  }

  /** The same part with its other crashes alone. */
  without(explained: ReadonlySet<Crash>): Candidate {
    if (!this.crashes.some(crash => explained.has(crash))) return this;
    const rest = new Candidate(this.part, this.isProven);
    for (const [crash, request, position] of this.entries) {
      if (!explained.has(crash)) rest.add(crash, request, position);
    }
    return rest;
  }

  /** Share of the crashes from its first to its last that it explains. */
  share(crashes: readonly Crash[], explained: ReadonlySet<Crash>): number {
    const own = new Set(this.crashes);
    const first = this.crashes[0]?.at ?? 0;
    const last = this.crashes.at(-1)?.at ?? 0;
    let count = 0;
    for (const crash of crashes) {
      if (crash.at < first || crash.at > last) continue;
      if (own.has(crash) || !explained.has(crash)) count++;
    }
    return own.size / count;
  }

  get weight(): number {
    return [...this.requests.values()].reduce((sum, weight) => sum + weight, 0);
  }

  get needsMore(): boolean {
    return this.isProven || this.isFirst;
  }

  unexplained(explained: ReadonlySet<Crash>): Crash[] {
    return this.crashes.filter(crash => !explained.has(crash));
  }

  /**
   * Whether requests with the part are forwarded one at a time: it crashed most
   * of `upstreamCount` upstreams, so that little is learnt from others. A first
   * part isn't, as most requests may share it.
   */
  isRationed(upstreamCount: number): boolean {
    const {isProven, isFirst, crashes, upstreams} = this;
    return (
      isProven &&
      !isFirst &&
      crashes.length >= PROVEN_SUSPICION_CRASHES &&
      upstreams.size >= upstreamCount * RATIONED_SHARE
    );
  }

  /**
   * Crashes of requests that were sent when instances knew of the suspicion, and
   * so one at a time.
   */
  get rationedCrashes(): number {
    const suspectedAt = this.crashes[PROVEN_SUSPICION_CRASHES - 1]?.at;
    if (suspectedAt === undefined) return 0;
    const knownAt = suspectedAt + SUSPICION_DELAY_MS;
    const crashes = new Set<Crash>();
    for (const [crash, {sentAt}] of this.entries) {
      if (sentAt >= knownAt) crashes.add(crash);
    }
    return crashes.size;
  }

  summary(crashes: number): SuspectPart {
    const {part, isProven, position} = this;
    return {part, isProven, position, crashes};
  }
}

/** Whether it is a first part, which most requests may share. */
export function isFirstPart(part: string, position: number): boolean {
  return position === 0 && !isRequestPart(part);
}
