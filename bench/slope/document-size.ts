import {
  diff,
  ConfigurationStateMachine,
  type ConfigurationDraft,
  type Submission,
} from '../../src/config/index.js';
import {
  withChangedWorkspace,
  smallDocument,
  withRunners,
  withWorkspaces,
} from './documents.js';
import {fitLine, median, type Point, type LinearFit} from './linear-fit.js';

const CHANGES_PER_DOCUMENT = 11;
const TARGET_COUNTS = {workspaces: 10_000, runners: 2_600};

const submissionOf = (
  base: number,
  document: ConfigurationDraft,
): Submission => ({type: 'submission', id: `s${base}`, base, document});

/** Cost of a change to one workspace in a document of some size. */
interface ChangeCost {
  /** Median time to apply the change to the ledger. */
  applyMs: number;
  /** Size of the change as a log record. */
  deltaBytes: number;
  /** Size of the whole document. */
  wholeBytes: number;
}

function measureChangeCost(document: ConfigurationDraft): ChangeCost {
  const ledger = new ConfigurationStateMachine();
  ledger.submit(0, submissionOf(0, document));
  const times: number[] = [];
  let deltaBytes = 0;
  for (let round = 1; round <= CHANGES_PER_DOCUMENT; round++) {
    const current = ledger.current();
    const next = withChangedWorkspace(current?.document ?? document, round);
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

/** Measures the cost of a change against the size of the document. */
export function measureByDocumentSize(): LinearFit[] {
  const workspaces = [10, 1_000, 10_000].map((x): [number, ChangeCost] => [
    x,
    measureChangeCost(withWorkspaces(smallDocument(), x)),
  ]);
  const runners = [10, 600, 2_600].map((x): [number, ChangeCost] => [
    x,
    measureChangeCost(withRunners(smallDocument(), x)),
  ]);
  const points = (
    costs: Array<[number, ChangeCost]>,
    key: keyof ChangeCost,
  ): Point[] => costs.map(([x, cost]) => [x, cost[key]]);
  const perWorkspace = {
    against: 'workspaces',
    target: TARGET_COUNTS.workspaces,
  };
  const perRunner = {against: 'runners', target: TARGET_COUNTS.runners};
  return [
    fitLine(
      {name: 'apply a change by workspaces', unit: 'ms', ...perWorkspace},
      points(workspaces, 'applyMs'),
    ),
    fitLine(
      {name: 'apply a change by runners', unit: 'ms', ...perRunner},
      points(runners, 'applyMs'),
    ),
    fitLine(
      {name: 'record of a change by workspaces', unit: 'B', ...perWorkspace},
      points(workspaces, 'deltaBytes'),
    ),
    fitLine(
      {name: 'whole document by workspaces', unit: 'B', ...perWorkspace},
      points(workspaces, 'wholeBytes'),
    ),
    fitLine(
      {name: 'whole document by runners', unit: 'B', ...perRunner},
      points(runners, 'wholeBytes'),
    ),
  ];
}
