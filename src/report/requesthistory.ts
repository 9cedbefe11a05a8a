import {LogEvent} from '../telemetry/logevent.js';
import type {LogLine} from './logparser.js';

/** How long before and after a request related events are included. */
const CONTEXT_MS = 2_000;
/** Fields not listed, as the sentence shows them or does not need them. */
const OMITTED_FIELDS = new Set([
  'level',
  'time',
  'part',
  'msg',
  'event',
  'request',
  'source',
]);

/** Log events of one request, with related events of its instances. */
export interface RequestHistory {
  request: string;
  /** Ordered by time; each starts with the ms since the first event. */
  sentences: string[];
  /** Outcome, status and cause; absent if the logs do not show the end. */
  ending?: string;
}

/**
 * Lists the events of a request, together with events of the same instances at
 * about the same time: state changes of the upstreams that the request used,
 * and changes of the instance itself. An unknown request has no sentences.
 */
export function requestHistory(
  request: string,
  lines: readonly LogLine[],
): RequestHistory {
  const requestLines = lines.filter(line => line.request === request);
  const first = requestLines[0];
  if (first === undefined) return {request, sentences: []};
  const from = Math.min(...requestLines.map(({time}) => time));
  const to = Math.max(...requestLines.map(({time}) => time));
  const sources = new Set(requestLines.map(({source}) => source));
  const upstreams = new Set(requestLines.map(({upstream}) => upstream));
  const context = lines.filter(
    line =>
      line.request !== request &&
      sources.has(line.source) &&
      line.time >= from - CONTEXT_MS &&
      line.time <= to + CONTEXT_MS &&
      isContext(line, upstreams),
  );
  const shownLines = [...requestLines, ...context].sort(
    (a, b) => a.time - b.time,
  );
  const endedLine = requestLines.find(({event}) => event === LogEvent.Ended);
  return {
    request,
    sentences: shownLines.map(line => sentence(line, line.time - from)),
    ...(endedLine === undefined ? {} : {ending: formatEnding(endedLine)}),
  };
}

function isContext(
  {event, upstream}: LogLine,
  upstreams: ReadonlySet<string | undefined>,
): boolean {
  switch (event) {
    case LogEvent.AnswerFault:
    case LogEvent.Crash:
    case LogEvent.Examined:
    case LogEvent.Health:
    case LogEvent.Leaving:
    case LogEvent.Limit:
    case LogEvent.Pause:
    case LogEvent.Relayed:
    case LogEvent.Upstream:
      return upstream !== undefined && upstreams.has(upstream);
    case LogEvent.Configuration:
    case LogEvent.Defect:
    case LogEvent.Hold:
    case LogEvent.Isolated:
    case LogEvent.Lag:
    case LogEvent.Readiness:
    case LogEvent.Reloaded:
    case LogEvent.Stall:
    case LogEvent.Started:
    case LogEvent.Stopped:
    case LogEvent.Stopping:
    case LogEvent.Store:
      return true;
    case LogEvent.Cleared:
    case LogEvent.Ended:
    case LogEvent.Held:
    case LogEvent.Overloaded:
    case LogEvent.Peer:
    case LogEvent.Placed:
    case LogEvent.Rationed:
    case LogEvent.Repeats:
    case LogEvent.Resent:
    case LogEvent.Resumed:
    case LogEvent.Silent:
    case LogEvent.Unreadable:
    case LogEvent.Waits:
    case undefined:
      return false;
  }
}

function sentence(line: LogLine, sinceMs: number): string {
  const fields = Object.entries(line)
    .filter(([name]) => !OMITTED_FIELDS.has(name))
    .map(([name, value]) => `${name} ${JSON.stringify(value)}`);
  const sign = sinceMs < 0 ? '-' : '+';
  const offset = `${sign}${Math.abs(sinceMs)} ms`.padStart(9);
  return `${offset}  ${line.source}  ${line.msg} (${fields.join(', ')})`;
}

function formatEnding(line: LogLine): string {
  const {outcome, status, cause} = line;
  return [outcome, status, cause]
    .filter(part => part !== undefined)
    .map(part => String(part))
    .join(', ');
}
