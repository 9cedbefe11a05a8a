import {err, ok, type Result} from 'neverthrow';
import type {Log, LogRecord, PlatformFailure} from '../platform/index.js';
import {
  History,
  HISTORY_MS,
  SUMMARY_STREAM,
  summarySchema,
  type Summary,
} from '../telemetry/index.js';
import {
  GapReason,
  incarnationKey,
  Source,
  type Contribution,
  type Gap,
} from './contribution.js';

const PAGE_RECORDS = 500;

/** Reads the summaries that the log took since `since`, wall-clock ms. */
export async function readSummaries(
  log: Log,
  since: number,
): Promise<Result<Summary[], PlatformFailure>> {
  const start = await seek(log, since);
  if (start.isErr()) return err(start.error);
  const summaries: Summary[] = [];
  let from = start.value;
  for (;;) {
    const page = await log.read(SUMMARY_STREAM, {from, limit: PAGE_RECORDS});
    if (page.isErr()) return err(page.error);
    summaries.push(...page.value.records.flatMap(summaryOf));
    const last = page.value.records.at(-1);
    if (last === undefined || last.offset + 1 >= page.value.next) break;
    from = last.offset + 1;
  }
  return ok(summaries);
}

/** Finds the first offset at or after a time by binary search. */
async function seek(
  log: Log,
  since: number,
): Promise<Result<number, PlatformFailure>> {
  const ends = await log.read(SUMMARY_STREAM, {from: 0, limit: 1});
  if (ends.isErr()) return err(ends.error);
  let low = ends.value.first;
  let high = ends.value.next;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    const page = await log.read(SUMMARY_STREAM, {from: middle, limit: 1});
    if (page.isErr()) return err(page.error);
    const record = page.value.records[0];
    if (record !== undefined && record.time < since) low = middle + 1;
    else high = middle;
  }
  return ok(low);
}

function summaryOf(record: LogRecord): Summary[] {
  const parsed = summarySchema.safeParse(record.value);
  return parsed.success ? [parsed.data] : [];
}

/** What the log tells of instances that did not answer for themselves. */
export interface SummarizedShares {
  contributions: Contribution[];
  gaps: Gap[];
}

/**
 * Builds the shares of all incarnations but the `answered` ones, which speak
 * for themselves. Each sequence number is counted once. `silent` names the
 * instances that are live but gave no answer.
 */
export function contributionsFromSummaries(
  summaries: readonly Summary[],
  answered: ReadonlySet<string>,
  silent: ReadonlySet<string>,
  now: number,
): SummarizedShares {
  const shares: SummarizedShares = {contributions: [], gaps: []};
  const groups = groupByIncarnation(summaries);
  const starts = startsByInstance(groups);
  for (const [key, own] of groups) {
    if (answered.has(key)) continue;
    shares.contributions.push(contributionOf(own, now));
    shares.gaps.push(...innerGaps(own));
    const tail = tailGap(own, starts, silent);
    if (tail !== undefined) shares.gaps.push(tail);
  }
  return shares;
}

/** Summaries of each incarnation, in sequence, each number once. */
function groupByIncarnation(
  summaries: readonly Summary[],
): Map<string, Summary[]> {
  const groups = new Map<string, Map<number, Summary>>();
  for (const summary of summaries) {
    const key = incarnationKey(summary);
    const group = groups.get(key) ?? new Map<number, Summary>();
    groups.set(key, group);
    if (!group.has(summary.sequence)) group.set(summary.sequence, summary);
  }
  return new Map(
    [...groups].map(([key, group]) => [
      key,
      [...group.values()].sort((a, b) => a.sequence - b.sequence),
    ]),
  );
}

/** When each incarnation began to count, by instance; wall-clock ms. */
function startsByInstance(
  groups: ReadonlyMap<string, readonly Summary[]>,
): Map<string, Map<number, number>> {
  const starts = new Map<string, Map<number, number>>();
  for (const [first] of groups.values()) {
    if (first === undefined) continue;
    const own = starts.get(first.instance) ?? new Map<number, number>();
    starts.set(first.instance, own.set(first.incarnation, first.from));
  }
  return starts;
}

function contributionOf(own: readonly Summary[], now: number): Contribution {
  const history = new History();
  for (const {figures, to} of own) {
    if (to > now - HISTORY_MS) history.addSnapshot(figures, to);
  }
  const [first] = own;
  const account = history.snapshot(first?.from ?? now, now);
  return {
    instance: first?.instance ?? '',
    incarnation: first?.incarnation ?? 0,
    source: Source.Summaries,
    account: {...account, to: own.at(-1)?.to ?? now},
  };
}

function innerGaps(own: readonly Summary[]): Gap[] {
  return own.flatMap((summary, index) => {
    const before = own[index - 1];
    if (before === undefined) return [];
    if (summary.sequence === before.sequence + 1) return [];
    return [gap(summary, GapReason.SummaryLost, before.to, summary.from)];
  });
}

function tailGap(
  own: readonly Summary[],
  starts: ReadonlyMap<string, ReadonlyMap<number, number>>,
  silent: ReadonlySet<string>,
): Gap | undefined {
  const last = own.at(-1);
  if (last === undefined || last.final) return undefined;
  const later = [...(starts.get(last.instance) ?? [])]
    .filter(([incarnation]) => incarnation > last.incarnation)
    .map(([, from]) => from);
  if (later.length > 0) {
    return gap(last, GapReason.EndedAbruptly, last.to, Math.min(...later));
  }
  const reason = silent.has(last.instance)
    ? GapReason.Silent
    : GapReason.EndedAbruptly;
  return gap(last, reason, last.to);
}

function gap(
  {instance, incarnation}: Summary,
  reason: GapReason,
  from: number,
  to?: number,
): Gap {
  const known = {instance, incarnation, reason, from};
  return to === undefined ? known : {...known, to};
}
