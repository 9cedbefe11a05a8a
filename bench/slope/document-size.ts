import {
  diff,
  Ledger,
  type ConfigurationDraft,
  type Submission,
} from '../../src/config/index.js';
import {
  changed,
  smallDocument,
  withRunners,
  withWorkspaces,
} from './documents.js';
import {fit, median, type Point, type Slope} from './linear-fit.js';

const ROUNDS = 11;
const TARGET = {workspaces: 10_000, runners: 2_600};

const submissionOf = (
  base: number,
  document: ConfigurationDraft,
): Submission => ({type: 'submission', id: `s${base}`, base, document});

/** Cost of one small change in a document that has grown. */
interface Cost {
  applyMs: number;
  deltaBytes: number;
  wholeBytes: number;
}

function costOf(document: ConfigurationDraft): Cost {
  const ledger = new Ledger();
  ledger.submit(0, submissionOf(0, document));
  const times: number[] = [];
  let deltaBytes = 0;
  for (let round = 1; round <= ROUNDS; round++) {
    const current = ledger.current();
    const next = changed(current?.document ?? document, round);
    const changes = diff(current?.document, next);
    const delta: Submission = {
      type: 'delta',
      id: `d${round}`,
      base: ledger.version,
      changes,
    };
    deltaBytes = JSON.stringify(delta).length;
    const start = performance.now();
    ledger.submit(round, delta);
    times.push(performance.now() - start);
  }
  const wholeBytes = JSON.stringify(ledger.current()?.document).length;
  return {applyMs: median(times), deltaBytes, wholeBytes};
}

/** Cost of applying a change, against the size of the document. */
export function byDocumentSize(): Slope[] {
  const workspaces = [10, 1_000, 10_000].map((x): [number, Cost] => [
    x,
    costOf(withWorkspaces(smallDocument(), x)),
  ]);
  const runners = [10, 600, 2_600].map((x): [number, Cost] => [
    x,
    costOf(withRunners(smallDocument(), x)),
  ]);
  const points = (costs: Array<[number, Cost]>, key: keyof Cost): Point[] =>
    costs.map(([x, cost]) => [x, cost[key]]);
  const perWorkspace = {against: 'workspaces', target: TARGET.workspaces};
  const perRunner = {against: 'runners', target: TARGET.runners};
  return [
    fit(
      {name: 'apply a change by workspaces', unit: 'ms', ...perWorkspace},
      points(workspaces, 'applyMs'),
    ),
    fit(
      {name: 'apply a change by runners', unit: 'ms', ...perRunner},
      points(runners, 'applyMs'),
    ),
    fit(
      {name: 'record of a change by workspaces', unit: 'B', ...perWorkspace},
      points(workspaces, 'deltaBytes'),
    ),
    fit(
      {name: 'whole document by workspaces', unit: 'B', ...perWorkspace},
      points(workspaces, 'wholeBytes'),
    ),
    fit(
      {name: 'whole document by runners', unit: 'B', ...perRunner},
      points(runners, 'wholeBytes'),
    ),
  ];
}
