import {pino, type Logger} from 'pino';

/** Parts of an instance; each has a fixed prefix in the logs. */
export enum Part {
  Cli = 'cli',
  Config = 'config',
  Claim = 'claim',
  Console = 'console',
  Lease = 'lease',
  Member = 'member',
  Order = 'order',
  Platform = 'platform',
  Request = 'request',
  Router = 'router',
  Upstream = 'upstream',
}

/** Severities a log can be cut off at. */
export enum Level {
  Debug = 'debug',
  Info = 'info',
  Warn = 'warn',
  Error = 'error',
  Silent = 'silent',
}

/** Opens the root logger of a process, writing JSON lines to standard error. */
export function openLogger(level: Level): Logger {
  return pino({level, base: null}, pino.destination({dest: 2, sync: false}));
}

/** Derives the logger of a part. Every message starts with the part's name. */
export function logOf(root: Logger, part: Part): Logger {
  return root.child({part}, {msgPrefix: `${part}: `});
}
