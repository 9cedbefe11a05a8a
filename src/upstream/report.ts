import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import type {Timer} from '../timer/index.js';
import type {LoadReport, Upstream} from './upstream.js';

const REPORT_TIMEOUT_MS = 1_000;

const reportSchema = z.object({
  running: z.number().min(0),
  waiting: z.number().min(0),
  memory: z.number().min(0),
  slots: z.number().positive().optional(),
  leaving: z.boolean().default(false),
  models: z.array(z.string()).optional(),
});

const eventsSchema = z.object({
  events: z.array(
    z.object({
      sequence: z.number(),
      type: z.enum(['stored', 'evicted']),
      blocks: z.array(z.string()),
    }),
  ),
  first: z.number(),
  next: z.number(),
});

/** A change of an upstream's prefix cache, as it published it. */
export type CacheEvent = z.output<typeof eventsSchema>['events'][number];

/** A run of cache events. */
export type CacheEventPage = z.output<typeof eventsSchema>;

/** Why an upstream's report could not be read. */
export type ReportFailure =
  | {type: 'reportUnavailable'; cause: string}
  | {type: 'reportMalformed'; path: string}
  /** The upstream does not publish this kind of report. */
  | {type: 'reportUnsupported'; status: number};

/** Bytes that reading a report takes on the wire besides its body. */
const OVERHEAD_BYTES = 220;

/** A report and the bytes that reading it took. */
export interface Fetched<Report> {
  report: Report;
  bytes: number;
}

/** Asks an upstream for its load. */
export async function fetchLoad(
  upstream: Upstream,
  timer: Timer,
): Promise<Result<Fetched<LoadReport>, ReportFailure>> {
  const fetched = await fetchReport(upstream, '/load', reportSchema);
  return fetched.map(({report: {slots, models, ...rest}, bytes}) => ({
    report: {
      ...rest,
      ...(slots === undefined ? {} : {slots}),
      ...(models === undefined ? {} : {models}),
      receivedAt: timer.now(),
    },
    bytes,
  }));
}

/** Asks a runner for changes of its prefix cache. */
export function fetchCacheEvents(
  upstream: Upstream,
  from: number,
  limit: number,
): Promise<Result<Fetched<CacheEventPage>, ReportFailure>> {
  const path = `/cache/events?from=${from}&limit=${limit}`;
  return fetchReport(upstream, path, eventsSchema);
}

async function fetchReport<Report>(
  upstream: Upstream,
  path: string,
  schema: z.ZodType<Report>,
): Promise<Result<Fetched<Report>, ReportFailure>> {
  try {
    const response = await upstream.connections.request({
      method: 'GET',
      path,
      signal: AbortSignal.timeout(REPORT_TIMEOUT_MS),
    });
    const text = await response.body.text();
    if (response.statusCode !== 200) {
      return err({type: 'reportUnsupported', status: response.statusCode});
    }
    const parsed = schema.safeParse(JSON.parse(text));
    if (!parsed.success) return err({type: 'reportMalformed', path});
    const bytes = text.length + OVERHEAD_BYTES;
    return ok({report: parsed.data, bytes});
  } catch (cause) {
    return err({type: 'reportUnavailable', cause: String(cause)});
  }
}
