/** What may be repeated of the requests of a route. */
export enum Repetition {
  /** May run any number of times. */
  Idempotent = 'idempotent',
  /** Runs at most once for each request of a caller. */
  AtMostOnce = 'at_most_once',
  /** A stream that another upstream can continue after its last event. */
  Resumable = 'resumable',
}

/** A share of a route's requests that goes to one service. */
export interface Split {
  service: string;
  /** Relative to the other splits of the route. */
  weight: number;
}

/** Where requests of one host and path prefix go, and what they are owed. */
export interface Route {
  name: string;
  /** Host name in lower case. */
  host: string;
  /** Begins and ends with a slash. */
  prefix: string;
  repetition: Repetition;
  /** Whether answers are event streams. */
  streaming: boolean;
  /** Longest time from arrival to the end of the answer, in ms. */
  timeoutMs: number;
  /** Objective for the whole answer, or for a stream's first event, in ms. */
  targetMs: number;
  /** Longest pause between events for an answer that counts as on time, in ms. */
  pauseMs?: number;
  /** Tier; 0 is the highest. */
  tier: number;
  splits: Split[];
  /** Most upstreams that one request may be sent to. */
  attemptsLimit: number;
  /** Whether callers need no key. */
  open: boolean;
}

/** What an inference engine of a service can do. */
export interface Engine {
  /** Requests in a batch. */
  slots: number;
  /** Tokens that fit into its memory. */
  memoryTokens: number;
  /** Tokens in one event of a stream. */
  tokensPerEvent: number;
}

/** A group of like upstreams. */
export interface Service {
  name: string;
  /** Connections that one upstream accepts from all instances together. */
  connectionsLimit: number;
  /** Absent for plain services. */
  engine?: Engine;
}

/** Bounds on what callers may send. */
export interface CallerLimits {
  headerBytes: number;
  bodyBytes: number;
  /** Longest time for the head of a request, in ms. */
  headerMs: number;
  /** Longest time a connection may be idle, in ms. */
  idleMs: number;
}

/** A customer and the keys of its callers. */
export interface Workspace {
  name: string;
  keys: string[];
  /** Goes before the tier of the route. */
  tier?: number;
}

/** One version of the routing configuration, complete. */
export interface RoutingDocument {
  version: number;
  routes: Route[];
  services: Service[];
  limits: CallerLimits;
  /** Undefined if callers need no keys. */
  workspaces?: Workspace[];
}
