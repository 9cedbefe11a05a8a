import type {Stall} from './lateness.js';
import type {Violation} from './promise.js';
import type {PartSummary} from './promptchecker.js';
import type {VersionSummary} from './versionchecker.js';

/** Result of a soak. */
export interface SoakResult {
  seed: number;
  requests: number;
  runs: number;
  /** Number of requests by how they ended for their callers. */
  outcomes: Record<string, number>;
  faults: Record<string, number>;
  /** Time from the last fault until everything was served, in ms. */
  recoveredAfterMs?: number;
  /** How often there was something to judge bounds in time on. */
  judged: Record<string, number>;
  /** What was seen of each prompt part that crashes upstreams. */
  parts: PartSummary[];
  /** What was seen of streams while upstreams had several software versions. */
  softwareVersions: VersionSummary;
  /** Answers that were bytes without end. */
  endless: number;
  /** Highest count in a window, as a share of what is allowed, by upstream. */
  limits: Record<string, number>;
  /** Answers that looked whole too early, by framing and what ended them. */
  earlyEnds: Record<string, number>;
  violations: Violation[];
  /** Broken bounds that the soak's own stalls account for. */
  touched: Violation[];
  /** Largest delay of the soak's event loop, and its stalls, in ms. */
  maxLatenessMs: number;
  stalls: Stall[];
  /** Where the logs are if a promise was broken. */
  folder: string;
}
