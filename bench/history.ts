import type {JournaledOrder} from '../stand-ins/index.js';
import type {Reply} from './caller.js';

/** Kinds of calls that the callers of a fault run make. */
export enum OperationKind {
  Chat = 'chat',
  Completion = 'completion',
  /** The rest of a chat whose stream broke off. */
  Resumed = 'resumed',
  Lookup = 'lookup',
  /** A call that is not repeatable, with an idempotency key. */
  Order = 'order',
  /** A call that is not repeatable, without a key. */
  UnkeyedOrder = 'unkeyed_order',
}

/** One call of a caller. Times are wall-clock ms. */
export interface Operation {
  kind: OperationKind;
  class: string;
  tier: number;
  /** Name of the router called, and the number of its process. */
  router: string;
  process: number;
  /** Upstreams that could serve it, as the name of their pool. */
  pool: string;
  key?: string;
  /** Calls made before with the same key that may have run. */
  prior: number;
  /** SHA-256 of the body, as a service's journal has it. */
  digest: string;
  /** The whole text of the right answer, where it is known beforehand. */
  expected?: string;
  sentAt: number;
  endedAt: number;
  /** What came back; absent when the connection failed or was given up. */
  reply?: Reply;
  /** Whether the caller gave up. */
  gaveUp: boolean;
  /** Why the connection failed. */
  lost?: string;
}

/** One entry of an upstream's journal. */
export interface Execution {
  upstream: string;
  /** Id of the attempt, as told to the upstream. */
  id: string;
  key?: string;
  /** SHA-256 of the body; engines keep none. */
  digest?: string;
  /** Wall-clock ms at which it began. */
  startedAt: number;
}

/** Kinds of faults that a fault run injects. */
export enum FaultKind {
  KillRouter = 'kill_router',
  PauseRouter = 'pause_router',
  /** Pauses the holder of a lease past its term; its order comes late. */
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

/** One fault as it was injected. Times are wall-clock ms. */
export interface Fault {
  kind: FaultKind;
  /** Name of the router, upstream or platform part it struck. */
  target: string;
  from: number;
  to: number;
}

/** The version of the configuration that a router said is in force. */
export interface Sighting {
  router: string;
  process: number;
  version: number;
  at: number;
}

/** A configuration that the log took. */
export interface Publication {
  /** Version it gets if it is accepted. */
  version: number;
  base: number;
  at: number;
}

/** What an operator was told of a submission. */
export enum SubmissionOutcome {
  Accepted = 'accepted',
  /** A conflict, or an invalid document. */
  Refused = 'refused',
  /** The log took no record of it. */
  NotSent = 'not_sent',
  Unknown = 'unknown',
}

/** A submission as its operator knows it. */
export interface Submission {
  id: string;
  told: SubmissionOutcome;
  /** The version it became, when it was accepted. */
  version?: number;
}

/** A submission as it stands in the log. */
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

/** The orders that one process of an engine got, oldest first. */
export interface OrderJournal {
  upstream: string;
  /** Whether the engine checks fencing numbers. */
  enforced: boolean;
  orders: JournaledOrder[];
}

/** All that a fault run saw, for the checkers. */
export interface History {
  operations: Operation[];
  executions: Execution[];
  faults: Fault[];
  sightings: Sighting[];
  publications: Publication[];
  submissions: Submission[];
  /** All submissions in the log at the end, in order. */
  records: LoggedSubmission[];
  shutdowns: Shutdown[];
  orders: OrderJournal[];
}

/** Returns a history with nothing in it. */
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
