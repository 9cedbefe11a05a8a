import {LogEvent} from '../telemetry/logevent.js';
import type {LogLine} from './logparser.js';

/** Time before and after a request in which beliefs are told beside it, in ms. */
const CONTEXT_MS = 2_000;
/** Fields that a sentence or its place already tells. */
const TOLD = new Set([
  'level',
  'time',
  'part',
  'msg',
  'event',
  'request',
  'source',
]);

/** What the logs tell of one request. */
export interface RequestHistory {
  request: string;
  /** In the order of time, each with the time since the first line. */
  sentences: string[];
  /** The outcome and its cause; undefined if the log ends before it. */
  ending?: string;
}

/**
 * Tells what was done with a request, and what the instance came to believe of
 * the upstreams and dependencies it met meanwhile.
 */
export function requestHistory(
  request: string,
  lines: readonly LogLine[],
): RequestHistory {
  const own = lines.filter(line => line.request === request);
  const first = own[0];
  if (first === undefined) return {request, sentences: []};
  const from = Math.min(...own.map(({time}) => time));
  const to = Math.max(...own.map(({time}) => time));
  const sources = new Set(own.map(({source}) => source));
  const upstreams = new Set(own.map(({upstream}) => upstream));
  const beside = lines.filter(
    line =>
      line.request !== request &&
      sources.has(line.source) &&
      line.time >= from - CONTEXT_MS &&
      line.time <= to + CONTEXT_MS &&
      concerns(line, upstreams),
  );
  const told = [...own, ...beside].sort((a, b) => a.time - b.time);
  const last = own.find(({event}) => event === LogEvent.Ended);
  return {
    request,
    sentences: told.map(line => sentence(line, line.time - from)),
    ...(last === undefined ? {} : {ending: endingOf(last)}),
  };
}

function concerns(
  {event, upstream}: LogLine,
  upstreams: ReadonlySet<string | undefined>,
): boolean {
  switch (event) {
    case LogEvent.Health:
    case LogEvent.Upstream:
      return upstream !== undefined && upstreams.has(upstream);
    case LogEvent.Configuration:
    case LogEvent.Defect:
    case LogEvent.Readiness:
    case LogEvent.Reloaded:
    case LogEvent.Stall:
    case LogEvent.Started:
    case LogEvent.Stopped:
    case LogEvent.Stopping:
    case LogEvent.Store:
      return true;
    case LogEvent.Ended:
    case LogEvent.Overloaded:
    case LogEvent.Peer:
    case LogEvent.Placed:
    case LogEvent.Repeats:
    case LogEvent.Unreadable:
    case LogEvent.Waits:
    case undefined:
      return false;
  }
}

function sentence(line: LogLine, sinceMs: number): string {
  const facts = Object.entries(line)
    .filter(([name]) => !TOLD.has(name))
    .map(([name, value]) => `${name} ${JSON.stringify(value)}`);
  const sign = sinceMs < 0 ? '-' : '+';
  const offset = `${sign}${Math.abs(sinceMs)} ms`.padStart(9);
  return `${offset}  ${line.source}  ${line.msg} (${facts.join(', ')})`;
}

function endingOf(line: LogLine): string {
  const {outcome, status, cause} = line;
  return [outcome, status, cause]
    .filter(part => part !== undefined)
    .map(part => String(part))
    .join(', ');
}
