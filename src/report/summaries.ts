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

const RECORDS_PER_READ = 500;

/**
 * Reads the summaries appended to the log at or after `since`, wall-clock ms.
 * Records that are not valid summaries are skipped.
 */
export async function readSummaries(
  log: Log,
  since: number,
): Promise<Result<Summary[], PlatformFailure>> {
  const startOffset = await findOffset(log, since);
  if (startOffset.isErr()) return err(startOffset.error);
  const summaries: Summary[] = [];
  let from = startOffset.value;
  for (;;) {
    const page = await log.read(SUMMARY_STREAM, {
      from,
      limit: RECORDS_PER_READ,
    });
    if (page.isErr()) return err(page.error);
    summaries.push(...page.value.records.flatMap(summaryOf));
    const last = page.value.records.at(-1);
    if (last === undefined || last.offset + 1 >= page.value.next) break;
    from = last.offset + 1;
  }
  return ok(summaries);
}

/** Finds the first offset appended at or after `since` by binary search. */
async function findOffset(
  log: Log,
  since: number,
): Promise<Result<number, PlatformFailure>> {
  const bounds = await log.read(SUMMARY_STREAM, {from: 0, limit: 1});
  if (bounds.isErr()) return err(bounds.error);
  let low = bounds.value.first;
  let high = bounds.value.next;
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

/** Contributions and gaps of instances that did not answer. */
export interface SummarizedContributions {
  contributions: Contribution[];
  gaps: Gap[];
}

/**
 * Builds contributions from summaries for all incarnations except
 * `liveIncarnations` (keys of [[incarnationKey]]), which reported their own
 * figures. Each sequence number is counted once, as a repeated append can write
 * a summary twice. `silentInstances` names live instances that did not answer.
 */
export function contributionsFromSummaries(
  summaries: readonly Summary[],
  liveIncarnations: ReadonlySet<string>,
  silentInstances: ReadonlySet<string>,
  now: number,
): SummarizedContributions {
  const result: SummarizedContributions = {contributions: [], gaps: []};
  const groups = groupByIncarnation(summaries);
  const starts = startsByInstance(groups);
  for (const [key, group] of groups) {
    if (liveIncarnations.has(key)) continue;
    result.contributions.push(contributionOf(group, now));
    result.gaps.push(...gapsBetweenSummaries(group));
    const lastGap = gapAfterLastSummary(group, starts, silentInstances);
    if (lastGap !== undefined) result.gaps.push(lastGap);
  }
  return result;
}

/** Groups by incarnation, sorted by sequence number, without duplicates. */
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

/** Maps instance and incarnation to when counting began, wall-clock ms. */
function startsByInstance(
  groups: ReadonlyMap<string, readonly Summary[]>,
): Map<string, Map<number, number>> {
  const starts = new Map<string, Map<number, number>>();
  for (const [first] of groups.values()) {
    if (first === undefined) continue;
    const instanceStarts =
      starts.get(first.instance) ?? new Map<number, number>();
    starts.set(
      first.instance,
      instanceStarts.set(first.incarnation, first.from),
    );
  }
  return starts;
}

function contributionOf(
  summaries: readonly Summary[],
  now: number,
): Contribution {
  const history = new History();
  for (const {figures, to} of summaries) {
    if (to > now - HISTORY_MS) history.addSnapshot(figures, to);
  }
  const [first] = summaries;
  const account = history.snapshot(first?.from ?? now, now);
  return {
    instance: first?.instance ?? '',
    incarnation: first?.incarnation ?? 0,
    source: Source.Summaries,
    account: {...account, to: summaries.at(-1)?.to ?? now},
  };
}

function gapsBetweenSummaries(summaries: readonly Summary[]): Gap[] {
  return summaries.flatMap((summary, index) => {
    const previous = summaries[index - 1];
    if (previous === undefined) return [];
    if (summary.sequence === previous.sequence + 1) return [];
    return [
      createGap(summary, GapReason.SummaryLost, previous.to, summary.from),
    ];
  });
}

function gapAfterLastSummary(
  summaries: readonly Summary[],
  starts: ReadonlyMap<string, ReadonlyMap<number, number>>,
  silentInstances: ReadonlySet<string>,
): Gap | undefined {
  const last = summaries.at(-1);
  if (last === undefined || last.final) return undefined;
  const laterStarts = [...(starts.get(last.instance) ?? [])]
    .filter(([incarnation]) => incarnation > last.incarnation)
    .map(([, from]) => from);
  if (laterStarts.length > 0) {
    return createGap(
      last,
      GapReason.EndedAbruptly,
      last.to,
      Math.min(...laterStarts),
    );
  }
  const reason = silentInstances.has(last.instance)
    ? GapReason.Silent
    : GapReason.EndedAbruptly;
  return createGap(last, reason, last.to);
}

function createGap(
  {instance, incarnation}: Summary,
  reason: GapReason,
  from: number,
  to?: number,
): Gap {
  const openGap = {instance, incarnation, reason, from};
  return to === undefined ? openGap : {...openGap, to};
}
