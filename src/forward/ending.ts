import type {ForwardDependencies} from './dependencies.js';

/** Most characters of a path in a log line. */
const MAX_LOGGED_PATH = 200;

/** What the configuration does not allow, and how old the configuration is. */
export interface Rejection {
  host: string;
  /** Path without query, cut to [[MAX_LOGGED_PATH]] characters. */
  path: string;
  /** Ms since the configuration was known to be current. */
  configurationAgeMs?: number;
}

/** How a request ended, for logs and metrics. */
export interface Ending {
  /**
   * `answered`: a successful response was delivered completely. `failed`: an
   * error was returned and the request may have run. `refused`: the request did
   * not run. `broken`: the response was cut after it had started. `gone`: the
   * caller disconnected.
   */
  outcome: 'answered' | 'failed' | 'refused' | 'broken' | 'gone';
  /** HTTP status that was sent, or would have been if none had been sent. */
  status?: number;
  cause?: string;
  route?: string;
  /** Of an answer: whether it was delimited by HTTP, not by its connection. */
  framed?: boolean;
  /** Of a request that broke off: the same if it is sent again. */
  digest?: string;
  /** Of a request that the configuration does not allow. */
  rejected?: Rejection;
}

/** Describes a request to `path` of `host` that the configuration rejects. */
export function rejectionOf(
  host: string,
  path: string,
  dependencies: Pick<ForwardDependencies, 'configurationAgeMs'>,
): Rejection {
  const configurationAgeMs = dependencies.configurationAgeMs();
  return {
    host,
    path: path.slice(0, MAX_LOGGED_PATH),
    ...(configurationAgeMs === undefined ? {} : {configurationAgeMs}),
  };
}
