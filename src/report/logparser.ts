import {basename} from 'node:path';
import {z} from 'zod';
import {LogEvent} from '../telemetry/logevent.js';

const lineSchema = z.looseObject({
  /** Wall-clock ms. */
  time: z.number(),
  event: z.enum(LogEvent).optional(),
  request: z.string().optional(),
  upstream: z.string().optional(),
  instance: z.string().optional(),
  route: z.string().optional(),
  outcome: z.string().optional(),
  status: z.number().optional(),
  cause: z.string().optional(),
  /** Time from the request's arrival to its end, in ms. */
  ms: z.number().optional(),
  /** Time from the request's arrival to the first streamed bytes, in ms. */
  toFirstMs: z.number().optional(),
  /** Latency target of the route, in ms. */
  targetMs: z.number().optional(),
  msg: z.string(),
});

/** Parsed line of an instance's log. */
export type LogLine = z.output<typeof lineSchema> & {
  /** Name of the instance, or of the file if the log names no instance. */
  source: string;
};

/** Parsed lines of one log, and the number of lines that are not valid. */
export interface ParsedLog {
  lines: LogLine[];
  unreadable: number;
}

/** Prefix added by a log collector; its last word names the source. */
const COLLECTOR_PREFIX = /^([^{]*?)(\S+)\s+(?=\{)/;

/**
 * Parses the text of a log. Truncated lines and lines in another format are
 * skipped and counted in `unreadable`. The source of a line is the name in its
 * collector prefix, else the instance named by the last `started` event before
 * it, else the base name of `file`.
 */
export function parseLog(text: string, file: string): ParsedLog {
  const lines: LogLine[] = [];
  let unreadable = 0;
  let source = basename(file);
  for (const row of text.split('\n')) {
    if (row.trim() === '') continue;
    const parsed = parseRow(row);
    if (parsed === undefined) {
      unreadable++;
      continue;
    }
    const {line, prefix} = parsed;
    if (line.event === LogEvent.Started) source = line.instance ?? source;
    lines.push({...line, source: prefix ?? source});
  }
  return {lines, unreadable};
}

function parseRow(
  row: string,
): {line: z.output<typeof lineSchema>; prefix?: string} | undefined {
  const brace = row.indexOf('{');
  if (brace < 0) return undefined;
  try {
    const parsed = lineSchema.safeParse(JSON.parse(row.slice(brace)));
    if (!parsed.success) return undefined;
    const prefix = COLLECTOR_PREFIX.exec(row)?.[2];
    return {line: parsed.data, ...(prefix === undefined ? {} : {prefix})};
  } catch {
    // Not JSON: the caller counts the line as unreadable.
    return undefined;
  }
}
