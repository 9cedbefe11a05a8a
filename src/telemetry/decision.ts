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

/** One upstream that was weighed for a request. */
export interface CandidateUpstream {
  name: string;
  zone: string;
  /** Expected time to the first token, in ms. */
  expectedMs: number;
  /** Prompt tokens expected in the upstream's prefix cache. */
  cachedTokens: number;
  /** Requests running on it, as this instance sees it. */
  inflight: number;
}

/** One decision about a request, in the order it was taken. */
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

/** Causes of work that upstreams did and no caller got. */
export enum WasteCause {
  Retry = 'retry',
  Abandoned = 'abandoned',
  Preempted = 'preempted',
  Broken = 'broken',
  Recomputed = 'recomputed',
}

/** What a request was in the end, for the service-level report. */
export interface RequestResult {
  class: string;
  tier: number;
  workspace: string;
  outcome: string;
  /** Whether every target of the class was met. */
  attained: boolean;
  /** Times in ms from arrival; absent where there was no such moment. */
  firstTokenMs?: number;
  /** Mean time between tokens, in ms. */
  betweenTokensMs?: number;
  completionMs: number;
  tokens: number;
}

/**
 * Takes in what the parts tell about requests. Calls are cheap and never fail;
 * an implementation bounds its own memory.
 */
export interface Recorder {
  /** Appends a decision to the trace of a request. */
  recordDecision(request: string, decision: Decision): void;
  /** Counts an ended request. */
  recordResult(observation: RequestResult): void;
  /** Counts tokens of work that no caller got. */
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
    n: number,
  ): void;
}

/** A recorder that keeps nothing. */
export const nullRecorder: Recorder = {
  recordDecision: () => undefined,
  recordResult: () => undefined,
  recordWastedTokens: () => undefined,
  recordLinkBytes: () => undefined,
};
