/** Why a request was shed or refused by admission. */
export enum ShedReason {
  QueueFull = 'queue_full',
  TargetUnreachable = 'target_unreachable',
  ClassLimit = 'class_limit',
  WorkspaceLimit = 'workspace_limit',
  NoUpstream = 'no_upstream',
  Deadline = 'deadline',
  Draining = 'draining',
}

/** An upstream that was considered for a request. */
export interface CandidateUpstream {
  name: string;
  zone: string;
  /** Expected time to the first token, in ms. */
  expectedMs: number;
  /** Prompt tokens expected in the upstream's prefix cache. */
  cachedTokens: number;
  /** Requests running on it, as far as this instance knows. */
  inflight: number;
}

/** A decision or event in the life of a request, as its trace keeps it. */
export type Decision =
  | {type: 'arrived'; class: string; tier: number; workspace: string}
  | {type: 'queued'; ahead: number; depth: number}
  | {type: 'shed'; reason: ShedReason; inFavourOf?: string}
  | {
      type: 'placed';
      upstream: string;
      waitedMs: number;
      weighed: CandidateUpstream[];
      crossesLink?: string;
    }
  | {type: 'claimed'; key: string; offset: number; waitedMs: number}
  | {type: 'claimLost'; key: string; holder: string}
  | {type: 'attempted'; upstream: string; result: string; ms: number}
  | {type: 'retried'; reason: string; delayMs: number}
  | {type: 'resumed'; upstream: string; offset: number}
  | {type: 'preempted'; upstream: string; inFavourOf: string}
  | {type: 'ended'; outcome: string; failure?: string; ms: number};

/** Why tokens that an upstream generated reached no caller. */
export enum WasteCause {
  Retry = 'retry',
  /** The caller cancelled the request. */
  Abandoned = 'abandoned',
  /** The attempt was stopped in favour of another request. */
  Preempted = 'preempted',
  /** The attempt failed after the upstream had generated tokens. */
  Broken = 'broken',
  Recomputed = 'recomputed',
}

/** The result of a request that ended, for the service-level report. */
export interface RequestResult {
  class: string;
  tier: number;
  workspace: string;
  outcome: string;
  /** Whether every target of the class was met. */
  attained: boolean;
  /** Time from arrival to the first token, in ms; absent if there was none. */
  firstTokenMs?: number;
  /** Mean inter-token latency, in ms; absent with fewer than two tokens. */
  betweenTokensMs?: number;
  /** Time from arrival to the end, in ms. */
  completionMs: number;
  tokens: number;
}

/**
 * Records what happens to requests. Calls are cheap and never throw, and
 * implementations use bounded memory.
 */
export interface Recorder {
  /** Appends a decision to the trace of a request. */
  recordDecision(request: string, decision: Decision): void;
  /** Counts a request that ended. */
  recordResult(result: RequestResult): void;
  /** Counts generated tokens that reached no caller. */
  recordWastedTokens(
    cause: WasteCause,
    workClass: string,
    tokens: number,
  ): void;
  /** Counts bytes sent over a paid link. */
  recordLinkBytes(
    link: string,
    cause: string,
    workspace: string,
    bytes: number,
  ): void;
}

/** A recorder that discards everything. */
export const nullRecorder: Recorder = {
  recordDecision: () => undefined,
  recordResult: () => undefined,
  recordWastedTokens: () => undefined,
  recordLinkBytes: () => undefined,
};
