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

/** Log lines kept in memory while the output does not take them, in bytes. */
const OUTPUT_BUFFER_BYTES = 1 << 20;

/** A logger that never waits for its output. */
export interface OutputLogger {
  logger: Logger;
  /** Lines that were dropped since the output did not take them. */
  dropped(): number;
}

/**
 * Opens a logger on standard output. Lines that a full output does not take are
 * kept up to a limit, then dropped and counted.
 */
export function openOutputLogger(): OutputLogger {
  let count = 0;
  const output = pino.destination({
    dest: 1,
    sync: false,
    maxLength: OUTPUT_BUFFER_BYTES,
  });
  output.on('drop', () => {
    count++;
  });
  return {logger: pino({base: null}, output), dropped: () => count};
}

/** Loggers of the parts, by root logger. A child does not follow its root. */
const children = new WeakMap<Logger, Set<Logger>>();

/** Derives the logger of a part. Every message starts with the part's name. */
export function logOf(root: Logger, part: Part): Logger {
  const logger = root.child({part}, {msgPrefix: `${part}: `});
  const known = children.get(root) ?? new Set<Logger>();
  children.set(root, known.add(logger));
  return logger;
}

/** Changes the level of a root logger and of every part's logger under it. */
export function setLevel(root: Logger, level: Level): void {
  root.level = level;
  for (const logger of children.get(root) ?? []) logger.level = level;
}
