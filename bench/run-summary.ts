import type {PolicyRun} from './policy-run.js';
import type {Served} from './open-loop-load.js';

/** Describes a run in a few lines for people. */
export function describeRun(policy: string, run: PolicyRun): string {
  const {figures, served, work, routerCores} = run;
  const measured = served.filter(item => item.measured);
  const classes = Object.keys(figures.attainment);
  const times = measured.map(({arrival}) => arrival.atMs);
  const span = {from: times.at(0) ?? 0, to: times.at(-1) ?? 0};
  const cores = routerCores.map(share => share.toFixed(2)).join(' ');
  const lines = classes.map(name => {
    const items = measured.filter(({arrival}) => arrival.class === name);
    return classLine(name, figures.attainment[name] ?? 0, items, span);
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

function classLine(
  name: string,
  share: number,
  items: Served[],
  span: Span,
): string {
  const first = items.flatMap(({reply}) => reply?.firstTokenMs ?? []);
  const ends = new Map<string, number>();
  for (const {reply} of items) {
    const end = reply?.error ?? reply?.outcome ?? 'cut off';
    ends.set(end, (ends.get(end) ?? 0) + 1);
  }
  const counts = [...ends].map(([end, count]) => `${end} ${count}`);
  return (
    `  ${name}: ${percent(share)} of ${items.length}, ` +
    `first token p50 ${quantile(first, 0.5)} p95 ${quantile(first, 0.95)} ms` +
    ` (${counts.join(', ')}); missed by tenth of the run: ` +
    missesByTenth(items, span).join(' ')
  );
}

interface Span {
  from: number;
  to: number;
}

const TENTHS = 10;

function missesByTenth(items: readonly Served[], {from, to}: Span): number[] {
  const counts = new Array<number>(TENTHS).fill(0);
  for (const {attained, arrival} of items) {
    if (attained) continue;
    const share = (arrival.atMs - from) / (to - from + 1);
    const tenth = Math.floor(share * TENTHS);
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
