import type {Evidence, Hold} from '../quarantine/index.js';

/** What an instance knows of crashes and prompt parts, and decides of them. */
export interface EvidenceLog {
  /**
   * Takes what another instance told; true if it was news. A crash may be told
   * of in several reports of one reporter, each with some of the suspects.
   */
  learn(evidence: Evidence): boolean;
  /** Calls `listener` with what this instance itself finds and decides. */
  subscribe(listener: (evidence: Evidence) => void): void;
  /** The newest decision known here on each part, releases included. */
  holds(): Hold[];
}
