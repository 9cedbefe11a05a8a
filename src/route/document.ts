/** Whether a request of a route may be sent again, and under what condition. */
export enum Repetition {
  /** May run any number of times. */
  Idempotent = 'idempotent',
  /** May run at most once: repeated only if it did not run. */
  AtMostOnce = 'at_most_once',
  /** A stream that another upstream can continue after its last event. */
  Resumable = 'resumable',
}

/** The share of a route's requests that goes to one service. */
export interface Split {
  service: string;
  /** Relative to the weights of the route's other splits. */
  weight: number;
}

/** Services, limits and latency targets of a host and path prefix. */
export interface Route {
  name: string;
  /** Host name in lower case. */
  host: string;
  /** Path prefix; begins and ends with a slash. */
  prefix: string;
  repetition: Repetition;
  /** Whether responses are event streams. */
  streaming: boolean;
  /** Longest time from arrival to the end of the response, in ms. */
  timeoutMs: number;
  /** Latency target of the response, or of a stream's first event, in ms. */
  targetMs: number;
  /** Longest time between events of a stream that meets its target, in ms. */
  targetGapMs?: number;
  /** Priority; 0 is the highest. */
  priority: number;
  splits: Split[];
  /** Most upstreams that one request may be sent to. */
  attemptsLimit: number;
  /** Whether callers need no API key. */
  open: boolean;
}

/** Capacity of each inference engine of a service. */
export interface Engine {
  /** Most requests in a batch. */
  slots: number;
  /** Capacity of its KV cache, in tokens. */
  kvCacheTokens: number;
  /** Tokens in each event of a stream. */
  tokensPerEvent: number;
}

/** A group of interchangeable upstreams. */
export interface Service {
  name: string;
  /** Connections that one upstream accepts from all instances together. */
  connectionsLimit: number;
  /** Absent if the upstreams are not inference engines. */
  engine?: Engine;
}

/** Limits on requests and connections of callers. */
export interface CallerLimits {
  headerBytes: number;
  bodyBytes: number;
  /** Longest time for receiving the headers of a request, in ms. */
  headerMs: number;
  /** Longest time a connection may be idle, in ms. */
  idleMs: number;
}

/** A customer and the API keys of its callers. */
export interface Workspace {
  name: string;
  keys: string[];
  /** Priority, which takes precedence over that of the route. */
  priority?: number;
}

/** One complete version of the routing configuration. */
export interface RoutingDocument {
  version: number;
  routes: Route[];
  services: Service[];
  limits: CallerLimits;
  /** Undefined if callers need no API keys. */
  workspaces?: Workspace[];
}
