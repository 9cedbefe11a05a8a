import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {listOf} from '../telemetry/checkedlist.js';
import type {Timer} from '../timer/index.js';
import {readBounded} from './boundedbody.js';
import type {LoadReport, Upstream} from './upstream.js';

const REPORT_TIMEOUT_MS = 1_000;
/** Longest report, in bytes; a page of cache events is far shorter. */
const REPORT_LIMIT_BYTES = 4 * 1024 * 1024;

const loadReportSchema = z.object({
  running: z.number().min(0),
  waiting: z.number().min(0),
  memory: z.number().min(0),
  slots: z.number().positive().optional(),
  leaving: z.boolean().default(false),
  models: listOf(z.string()).optional(),
});

const cacheEventPageSchema = z.object({
  events: listOf(
    z.object({
      sequence: z.number(),
      type: z.enum(['stored', 'evicted']),
      blocks: listOf(z.string()),
    }),
  ),
  first: z.number(),
  next: z.number(),
});

/** A change of a runner's prefix cache, as the runner publishes it. */
export type CacheEvent = z.output<
  typeof cacheEventPageSchema
>['events'][number];

/**
 * A page of consecutive cache events. `first` is the oldest sequence number
 * that the runner still has, `next` the one to request after this page.
 */
export type CacheEventPage = z.output<typeof cacheEventPageSchema>;

/** Why a report could not be read. */
export type ReportFailure =
  | {type: 'reportUnavailable'; cause: string}
  | {type: 'reportMalformed'; path: string}
  /** The response status was not 200: this report is not offered. */
  | {type: 'reportUnsupported'; status: number};

/** Estimated bytes on the wire of a report request besides the body. */
const HTTP_OVERHEAD_BYTES = 220;

/** A report and the bytes its request and response took on the wire. */
export interface FetchedReport<Report> {
  report: Report;
  bytes: number;
}

/** Fetches the load report of an upstream. */
export async function fetchLoad(
  upstream: Upstream,
  timer: Timer,
): Promise<Result<FetchedReport<LoadReport>, ReportFailure>> {
  const fetched = await fetchReport(upstream, '/load', loadReportSchema);
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

/**
 * Fetches at most `limit` events of a runner's prefix cache, starting at
 * sequence number `from`.
 */
export function fetchCacheEvents(
  upstream: Upstream,
  from: number,
  limit: number,
): Promise<Result<FetchedReport<CacheEventPage>, ReportFailure>> {
  const path = `/cache/events?from=${from}&limit=${limit}`;
  return fetchReport(upstream, path, cacheEventPageSchema);
}

async function fetchReport<Report>(
  upstream: Upstream,
  path: string,
  schema: z.ZodType<Report>,
): Promise<Result<FetchedReport<Report>, ReportFailure>> {
  try {
    const response = await upstream.connections.request({
      method: 'GET',
      path,
      signal: AbortSignal.timeout(REPORT_TIMEOUT_MS),
    });
    const body = await readBounded(response.body, REPORT_LIMIT_BYTES);
    const text = body.toString('utf8');
    if (response.statusCode !== 200) {
      return err({type: 'reportUnsupported', status: response.statusCode});
    }
    const parsed = schema.safeParse(JSON.parse(text));
    if (!parsed.success) return err({type: 'reportMalformed', path});
    const bytes = text.length + HTTP_OVERHEAD_BYTES;
    return ok({report: parsed.data, bytes});
  } catch (cause) {
    return err({type: 'reportUnavailable', cause: String(cause)});
  }
}
