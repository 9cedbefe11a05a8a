import {createWriteStream, fstatSync} from 'node:fs';
import {Socket} from 'node:net';
import type {Writable} from 'node:stream';
import {pino, type Logger} from 'pino';
import {LogEvent} from './logevent.js';

/** Status of a process that an error ended which nothing handled. */
const EXIT_DEFECT = 1;

/** Parts of an instance; each has a fixed prefix in the logs. */
export enum Component {
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
export function openStderrLogger(level: Level): Logger {
  return pino({level, base: null}, pino.destination({dest: 2, sync: false}));
}

/** Log lines kept in memory while the output does not take them, in bytes. */
const OUTPUT_BUFFER_BYTES = 1 << 20;

const STANDARD_OUTPUT = 1;

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
  const output = openStream(STANDARD_OUTPUT);
  // A line that can not be written has nowhere to be reported but the count.
  output.on('error', () => {
    count++;
  });
  const write = (line: string) => {
    if (output.destroyed || output.writableLength > OUTPUT_BUFFER_BYTES) {
      count++;
    } else output.write(line);
  };
  return {logger: pino({base: null}, {write}), dropped: () => count};
}

/**
 * Opens a descriptor for writing. A pipe is written without blocking: a thread
 * that is stuck in a write would keep the process from ending.
 */
function openStream(fd: number): Writable {
  const stat = fstatSync(fd);
  return stat.isFIFO() || stat.isSocket()
    ? new Socket({fd, readable: false, writable: true})
    : createWriteStream('', {fd, autoClose: false});
}

/**
 * Logs an error that nothing handled, with its stack, and ends the process with
 * status 1. Its state can't be trusted any more.
 */
export function endOnDefect(logger: Logger): void {
  process.on('uncaughtException', (error, origin) => {
    const stack = error instanceof Error ? error.stack : String(error);
    logger.fatal(
      {event: LogEvent.Defect, origin, stack},
      'Ending: an error was not handled.',
    );
    process.exit(EXIT_DEFECT);
  });
}

/** Loggers of the parts, by root logger. A child does not follow its root. */
const children = new WeakMap<Logger, Set<Logger>>();

/** Derives the logger of a part. Every message starts with the part's name. */
export function componentLogger(root: Logger, part: Component): Logger {
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
