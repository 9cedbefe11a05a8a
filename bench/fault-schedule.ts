import {FaultKind} from './history.js';
import type {Random} from './random.js';

/** A fault to be injected, in ms from the start of the run. */
export interface PlannedFault {
  kind: FaultKind;
  atMs: number;
  durationMs: number;
  /** Picks the target, from 0 to 1. */
  pick: number;
}

/** Share of moments at which two faults start at once. */
const TWICE_SHARE = 0.35;
/** Share of those at which both are of one kind. */
const SAME_SHARE = 0.3;
/** Start of the run without faults, and its end, in ms. */
const LEAD_MS = 1_000;
const QUIET_SHARE = 0.2;
const GAP_MS = {least: 700, most: 2_200};
const DURATION_MS = {least: 500, most: 5_000};

/** Kinds that are drawn in turn; others have plans of their own. */
const DRAWN = Object.values(FaultKind).filter(
  kind => kind !== FaultKind.PauseHolder,
);
const HOLDER_PAUSE_MS = {least: 6_000, most: 8_000};
const HOLDER_PERIOD_MS = 15_000;

/** Plans pauses of lease holders, each past the term of the lease. */
export function planHolderPauses(
  random: Random,
  runMs: number,
): PlannedFault[] {
  const faults: PlannedFault[] = [];
  const end = runMs * (1 - QUIET_SHARE) - HOLDER_PAUSE_MS.most;
  let atMs = random.between(2 * LEAD_MS, HOLDER_PERIOD_MS / 3);
  while (atMs < end) {
    const {least, most} = HOLDER_PAUSE_MS;
    const durationMs = random.between(least, most);
    const pick = random.next();
    faults.push({kind: FaultKind.PauseHolder, atMs, durationMs, pick});
    atMs += HOLDER_PERIOD_MS;
  }
  return faults;
}

/** Plans the faults of a run from its seed; every kind comes in turn. */
export function planFaults(random: Random, runMs: number): PlannedFault[] {
  const faults: PlannedFault[] = [];
  const end = runMs * (1 - QUIET_SHARE);
  let deck: FaultKind[] = [];
  const draw = () => {
    if (deck.length === 0) deck = random.shuffle(DRAWN);
    return deck.pop() ?? FaultKind.KillRouter;
  };
  for (let atMs = LEAD_MS; atMs < end; atMs += gap(random)) {
    const kind = draw();
    faults.push(planOne(random, kind, atMs, end));
    if (random.next() >= TWICE_SHARE) continue;
    const second = random.next() < SAME_SHARE ? kind : draw();
    faults.push(planOne(random, second, atMs, end));
  }
  return faults;
}

function gap(random: Random): number {
  return random.between(GAP_MS.least, GAP_MS.most);
}

function planOne(
  random: Random,
  kind: FaultKind,
  atMs: number,
  end: number,
): PlannedFault {
  const longest = kind === FaultKind.LeavingUpstream ? 2 : 1;
  const durationMs =
    random.between(DURATION_MS.least, DURATION_MS.most) * longest;
  return {
    kind,
    atMs,
    durationMs: Math.min(durationMs, Math.max(DURATION_MS.least, end - atMs)),
    pick: random.next(),
  };
}
