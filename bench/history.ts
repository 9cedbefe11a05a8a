import type {JournaledOrder} from '../stand-ins/index.js';
import type {Reply} from './caller.js';

/** Kinds of calls that the callers of a fault run make. */
export enum OperationKind {
  Chat = 'chat',
  Completion = 'completion',
  /** Resumption of a chat whose stream broke off. */
  Resumed = 'resumed',
  Lookup = 'lookup',
  /** A call that must not run twice, with an idempotency key. */
  Order = 'order',
  /** A call that must not run twice, without an idempotency key. */
  UnkeyedOrder = 'unkeyed_order',
}

/** One call and its reply. Times are wall-clock ms. */
export interface Operation {
  kind: OperationKind;
  class: string;
  tier: number;
  /** Name of the router called. */
  router: string;
  /** Number of starts of that router before this one. */
  process: number;
  /** Name of the pool of upstreams that can serve the call. */
  pool: string;
  /** Idempotency key. */
  key?: string;
  /** Number of earlier calls with the same key that may have executed. */
  prior: number;
  /** SHA-256 of the body in hex, as in the journals of services. */
  digest: string;
  /** Full text of the correct answer, where it is known in advance. */
  expected?: string;
  sentAt: number;
  endedAt: number;
  /** Absent when the connection failed or the caller gave up. */
  reply?: Reply;
  /** Whether the caller's timeout expired. */
  gaveUp: boolean;
  /** Error of the call when it got no reply. */
  lost?: string;
}

/** One execution of a request, from an upstream's journal. */
export interface Execution {
  upstream: string;
  /** Request id that the upstream received. */
  id: string;
  /** Idempotency key. */
  key?: string;
  /** SHA-256 of the body in hex; engines record none. */
  digest?: string;
  /** Start of the execution, in wall-clock ms. */
  startedAt: number;
}

/** Kinds of faults that a fault run injects. */
export enum FaultKind {
  KillRouter = 'kill_router',
  PauseRouter = 'pause_router',
  /**
   * Pauses the holder of a lease beyond the lease term, and delivers an order
   * with its outdated fencing number to an engine.
   */
  PauseHolder = 'pause_holder',
  ReplaceRouter = 'replace_router',
  KillUpstream = 'kill_upstream',
  PauseUpstream = 'pause_upstream',
  SilentUpstream = 'silent_upstream',
  SilentPeer = 'silent_peer',
  SilentLog = 'silent_log',
  SilentCaller = 'silent_caller',
  LogOutage = 'log_outage',
  LostAppendAnswers = 'lost_append_answers',
  LostAppends = 'lost_appends',
  StaleReads = 'stale_reads',
  SlowLink = 'slow_link',
  RegionCut = 'region_cut',
  LeavingUpstream = 'leaving_upstream',
  BusyUpstream = 'busy_upstream',
  FailingUpstream = 'failing_upstream',
  SlowUpstream = 'slow_upstream',
  Publish = 'publish',
  PublishRace = 'publish_race',
}

/** One injected fault. Times are wall-clock ms. */
export interface Fault {
  kind: FaultKind;
  /** Name of the affected router, upstream, zone or platform service. */
  target: string;
  from: number;
  /** Infinity while the fault lasts. */
  to: number;
}

/** Configuration version that a router reported as in force. */
export interface VersionObservation {
  router: string;
  process: number;
  version: number;
  at: number;
}

/** A configuration that was appended to the log. */
export interface Publication {
  /** Version that the configuration gets if it is accepted. */
  version: number;
  /** Version on which the configuration is based. */
  base: number;
  /** Time of the append, in wall-clock ms. */
  at: number;
}

/** Result of a submission as reported to the operator. */
export enum SubmissionOutcome {
  Accepted = 'accepted',
  /** Refused as a conflict or as an invalid document. */
  Refused = 'refused',
  /** Not appended to the log. */
  NotSent = 'not_sent',
  Unknown = 'unknown',
}

/** A submitted configuration, with the result that its operator got. */
export interface Submission {
  id: string;
  told: SubmissionOutcome;
  /** Version of the configuration, when it was accepted. */
  version?: number;
}

/** Log record of a submitted configuration. */
export interface LoggedSubmission {
  offset: number;
  id: string;
  base: number;
}

/** A router process that was asked to shut down. */
export interface Shutdown {
  router: string;
  process: number;
  askedAt: number;
  endedAt: number;
  code: number | null;
}

/** Orders that one process of an engine received, oldest first. */
export interface OrderJournal {
  upstream: string;
  /** Whether the engine checks fencing numbers. */
  enforced: boolean;
  orders: JournaledOrder[];
}

/** Everything that a fault run recorded, as input of the checkers. */
export interface History {
  operations: Operation[];
  executions: Execution[];
  faults: Fault[];
  sightings: VersionObservation[];
  publications: Publication[];
  submissions: Submission[];
  /** All submissions in the log at the end of the run, in log order. */
  records: LoggedSubmission[];
  shutdowns: Shutdown[];
  orders: OrderJournal[];
}

/** Returns a history without entries. */
export function emptyHistory(): History {
  return {
    operations: [],
    executions: [],
    faults: [],
    sightings: [],
    publications: [],
    submissions: [],
    records: [],
    shutdowns: [],
    orders: [],
  };
}
