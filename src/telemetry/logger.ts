import {createWriteStream, fstatSync} from 'node:fs';
import {Socket} from 'node:net';
import type {Writable} from 'node:stream';
import {pino, type Logger} from 'pino';
import {LogEvent} from './logevent.js';

/** Exit status after an uncaught exception. */
const UNCAUGHT_EXCEPTION_STATUS = 1;

/** Components of an instance: `part` of log lines and prefix of messages. */
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

/** Log levels: the lowest severity that is logged. */
export enum Level {
  Debug = 'debug',
  Info = 'info',
  Warn = 'warn',
  Error = 'error',
  Silent = 'silent',
}

/** Opens a root logger that writes JSON lines to standard error. */
export function openStderrLogger(level: Level): Logger {
  return pino({level, base: null}, pino.destination({dest: 2, sync: false}));
}

/** Bound on the log lines buffered while standard output is full, in bytes. */
const MAX_BUFFERED_BYTES = 1 << 20;

const STDOUT_FD = 1;

/** A logger on standard output that never blocks. */
export interface OutputLogger {
  logger: Logger;
  /** Number of lines dropped because the buffer was full or a write failed. */
  dropped(): number;
}

/**
 * Opens a logger on standard output. While standard output is full, lines are
 * buffered up to [[MAX_BUFFERED_BYTES]], then dropped and counted.
 */
export function openOutputLogger(): OutputLogger {
  let droppedLines = 0;
  const output = openDescriptor(STDOUT_FD);
  // A failed write cannot be logged, so it is only counted.
  output.on('error', () => {
    droppedLines++;
  });
  const write = (line: string) => {
    if (output.destroyed || output.writableLength > MAX_BUFFERED_BYTES) {
      droppedLines++;
    } else output.write(line);
  };
  return {logger: pino({base: null}, {write}), dropped: () => droppedLines};
}

/**
 * Opens a file descriptor for writing. Pipes and sockets are written without
 * blocking: a thread blocked in a write would keep the process from exiting.
 */
function openDescriptor(fd: number): Writable {
  const stat = fstatSync(fd);
  return stat.isFIFO() || stat.isSocket()
    ? new Socket({fd, readable: false, writable: true})
    : createWriteStream('', {fd, autoClose: false});
}

/**
 * Logs an uncaught exception with its stack and exits with status 1, since the
 * state of the process may be inconsistent.
 */
export function endOnDefect(logger: Logger): void {
  process.on('uncaughtException', (error, origin) => {
    const stack = error instanceof Error ? error.stack : String(error);
    logger.fatal(
      {event: LogEvent.Defect, origin, stack},
      'Exiting after an uncaught exception.',
    );
    process.exit(UNCAUGHT_EXCEPTION_STATUS);
  });
}

/**
 * Component loggers by root logger. A pino child keeps its level when that of
 * its root changes, so [[setLevel]] changes each of them.
 */
const componentLoggers = new WeakMap<Logger, Set<Logger>>();

/** Creates the logger of a component, with its name before each message. */
export function componentLogger(root: Logger, component: Component): Logger {
  const logger = root.child({part: component}, {msgPrefix: `${component}: `});
  const siblings = componentLoggers.get(root) ?? new Set<Logger>();
  componentLoggers.set(root, siblings.add(logger));
  return logger;
}

/** Changes the level of a root logger and of its component loggers. */
export function setLevel(root: Logger, level: Level): void {
  root.level = level;
  for (const logger of componentLoggers.get(root) ?? []) logger.level = level;
}
