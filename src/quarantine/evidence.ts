/** A request that ended with the process of its upstream. */
export interface Suspect {
  /** Id of the request. */
  request: string;
  /** Ids of the prompt parts that other requests may have, in prompt order. */
  parts: string[];
  /** Time from when it was sent to the upstream to the crash, in ms. */
  openMs: number;
}

/**
 * The process of an upstream ended while it began to answer. Reports of several
 * instances on the same process count as one crash.
 */
export interface CrashReport {
  type: 'crash';
  /** Id of the upstream. */
  upstream: string;
  /** Start of its process, in Unix ms; 0 if it states none. */
  startedAt: number;
  /** Name of the instance that saw the crash. */
  reporter: string;
  /** Requests whose answers had begun and had no complete event. */
  suspects: Suspect[];
  /** Time of the crash, in monotonic ms of this instance. */
  at: number;
}

/** An upstream answered a request with the part beyond its beginning. */
export interface Clearance {
  type: 'clearance';
  part: string;
  /** Time of the last such answer, in monotonic ms of this instance. */
  at: number;
}

export enum HoldState {
  /** Requests with the part are refused. */
  Held = 'held',
  /** Requests with the part are forwarded again. */
  Released = 'released',
}

/** A decision on a prompt part; of two, that with the higher revision counts. */
export interface Hold {
  type: 'hold';
  part: string;
  state: HoldState;
  /** Rises with each decision on the part. */
  revision: number;
  /** Number of crashes that the decision rests on; 0 if an operator made it. */
  crashes: number;
  /** Time of the decision, in Unix ms. */
  decidedAt: number;
}

/** What instances tell each other of crashes and prompt parts. */
export type Evidence = CrashReport | Clearance | Hold;
