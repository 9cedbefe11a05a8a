import {basename} from 'node:path';
import {z} from 'zod';
import {LogEvent} from '../telemetry/logevent.js';

const lineSchema = z.looseObject({
  /** Unix ms. */
  time: z.number(),
  event: z.enum(LogEvent).optional(),
  request: z.string().optional(),
  upstream: z.string().optional(),
  instance: z.string().optional(),
  route: z.string().optional(),
  outcome: z.string().optional(),
  status: z.number().optional(),
  cause: z.string().optional(),
  /** Time from the arrival to the end, in ms. */
  ms: z.number().optional(),
  /** Time from the arrival to the first bytes of a stream, in ms. */
  toFirstMs: z.number().optional(),
  /** Objective of the route, in ms. */
  targetMs: z.number().optional(),
  msg: z.string(),
});

/** One line of an instance's log. */
export type LogLine = z.output<typeof lineSchema> & {
  /** Instance that wrote it. */
  source: string;
};

/** The lines of one log, and how many could not be read. */
export interface ParsedLog {
  lines: LogLine[];
  unreadable: number;
}

/** Words that a collector may write before a line; the last names its source. */
const PREFIX = /^([^{]*?)(\S+)\s+(?=\{)/;

/**
 * Reads the text of a log. Lines that are cut or are not of the gateway are
 * counted. The instance is the one named before a line by a collector, else the
 * one that the log's start names, else the name of the file.
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
    const prefix = PREFIX.exec(row)?.[2];
    return {line: parsed.data, ...(prefix === undefined ? {} : {prefix})};
  } catch {
    // Not JSON; the caller counts it.
    return undefined;
  }
}
