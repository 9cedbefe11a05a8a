import type {PolicyRun} from './policy-run.js';
import type {ServedRequest} from './open-loop-load.js';

/** Describes a run as text: a line of totals and one line for each class. */
export function describeRun(policy: string, run: PolicyRun): string {
  const {figures, served, work, routerCores} = run;
  const measured = served.filter(item => item.measured);
  const classes = Object.keys(figures.attainment);
  const times = measured.map(({arrival}) => arrival.atMs);
  const span = {from: times.at(0) ?? 0, to: times.at(-1) ?? 0};
  const cores = routerCores.map(share => share.toFixed(2)).join(' ');
  const lines = classes.map(name => {
    const items = measured.filter(({arrival}) => arrival.class === name);
    return describeClass(name, figures.attainment[name] ?? 0, items, span);
  });
  return [
    `${policy}: goodput ${figures.goodput.toFixed(2)}/s, ` +
      `wasted ${percent(figures.wastedWork)} ` +
      `(undelivered ${percent(work.undelivered / work.total)}, ` +
      `recomputed ${percent(work.recomputed / work.total)}), ` +
      `link ${(figures.linkBytes / 1e6).toFixed(2)} MB, ` +
      `prefix hits ${percent(figures.prefixHitRate)}, router cores ${cores}`,
    ...lines,
    '',
  ].join('\n');
}

function describeClass(
  name: string,
  share: number,
  items: ServedRequest[],
  span: TimeSpan,
): string {
  const firstTokenTimes = items.flatMap(({reply}) => reply?.firstTokenMs ?? []);
  const endCounts = new Map<string, number>();
  for (const {reply} of items) {
    const end = reply?.error ?? reply?.outcome ?? 'cut off';
    endCounts.set(end, (endCounts.get(end) ?? 0) + 1);
  }
  const counts = [...endCounts].map(([end, count]) => `${end} ${count}`);
  return (
    `  ${name}: ${percent(share)} of ${items.length}, ` +
    `first token p50 ${quantile(firstTokenTimes, 0.5)} p95 ${quantile(firstTokenTimes, 0.95)} ms` +
    ` (${counts.join(', ')}); missed by tenth of the run: ` +
    missesByTenth(items, span).join(' ')
  );
}

/** First and last arrival in ms since the start of the run. */
interface TimeSpan {
  from: number;
  to: number;
}

const TENTH_COUNT = 10;

/** Requests that missed their targets, in each tenth of the measured time. */
function missesByTenth(
  items: readonly ServedRequest[],
  {from, to}: TimeSpan,
): number[] {
  const counts = new Array<number>(TENTH_COUNT).fill(0);
  for (const {attained, arrival} of items) {
    if (attained) continue;
    const share = (arrival.atMs - from) / (to - from + 1);
    const tenth = Math.floor(share * TENTH_COUNT);
    counts[tenth] = (counts[tenth] ?? 0) + 1;
  }
  return counts;
}

function quantile(values: number[], share: number): string {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.min(sorted.length - 1, Math.floor(share * sorted.length));
  return (sorted[index] ?? NaN).toFixed(0);
}

function percent(share: number): string {
  return `${(share * 100).toFixed(1)} %`;
}
