import {FaultKind} from './history.js';
import type {Random} from './random.js';

/** A fault to be injected; `atMs` counts from the start of the run. */
export interface PlannedFault {
  kind: FaultKind;
  atMs: number;
  durationMs: number;
  /** Random number from 0 to 1 that selects the target. */
  pick: number;
}

/** Share of injections at which two faults start at once. */
const PAIRED_FAULT_SHARE = 0.35;
/** Share of pairs of faults in which both are of the same kind. */
const SAME_KIND_SHARE = 0.3;
/** Time at the start of a run without faults, in ms. */
const FAULT_FREE_START_MS = 1_000;
/** Share of a run at its end without faults. */
const FAULT_FREE_END_SHARE = 0.2;
const FAULT_INTERVAL_MS = {least: 700, most: 2_200};
const FAULT_DURATION_MS = {least: 500, most: 5_000};

/** Kinds that are drawn at random; pauses of holders are planned separately. */
const DRAWN_KINDS = Object.values(FaultKind).filter(
  kind => kind !== FaultKind.PauseHolder,
);
const HOLDER_PAUSE_MS = {least: 6_000, most: 8_000};
const HOLDER_PERIOD_MS = 15_000;

/** Plans pauses of lease holders, each longer than the lease term. */
export function planHolderPauses(
  random: Random,
  runMs: number,
): PlannedFault[] {
  const faults: PlannedFault[] = [];
  const endMs = runMs * (1 - FAULT_FREE_END_SHARE) - HOLDER_PAUSE_MS.most;
  let atMs = random.between(2 * FAULT_FREE_START_MS, HOLDER_PERIOD_MS / 3);
  while (atMs < endMs) {
    const {least, most} = HOLDER_PAUSE_MS;
    const durationMs = random.between(least, most);
    const pick = random.next();
    faults.push({kind: FaultKind.PauseHolder, atMs, durationMs, pick});
    atMs += HOLDER_PERIOD_MS;
  }
  return faults;
}

/**
 * Plans the faults of a run. Every kind is drawn once, in random order, before
 * any kind is drawn again; a pair of the same kind counts as one draw.
 */
export function planFaults(random: Random, runMs: number): PlannedFault[] {
  const faults: PlannedFault[] = [];
  const endMs = runMs * (1 - FAULT_FREE_END_SHARE);
  let undrawnKinds: FaultKind[] = [];
  const drawKind = () => {
    if (undrawnKinds.length === 0) undrawnKinds = random.shuffle(DRAWN_KINDS);
    return undrawnKinds.pop() ?? FaultKind.KillRouter;
  };
  for (
    let atMs = FAULT_FREE_START_MS;
    atMs < endMs;
    atMs += drawInterval(random)
  ) {
    const kind = drawKind();
    faults.push(planFault(random, kind, atMs, endMs));
    if (random.next() >= PAIRED_FAULT_SHARE) continue;
    const second = random.next() < SAME_KIND_SHARE ? kind : drawKind();
    faults.push(planFault(random, second, atMs, endMs));
  }
  return faults;
}

function drawInterval(random: Random): number {
  return random.between(FAULT_INTERVAL_MS.least, FAULT_INTERVAL_MS.most);
}

function planFault(
  random: Random,
  kind: FaultKind,
  atMs: number,
  endMs: number,
): PlannedFault {
  const durationFactor = kind === FaultKind.LeavingUpstream ? 2 : 1;
  const durationMs =
    random.between(FAULT_DURATION_MS.least, FAULT_DURATION_MS.most) *
    durationFactor;
  return {
    kind,
    atMs,
    durationMs: Math.min(
      durationMs,
      Math.max(FAULT_DURATION_MS.least, endMs - atMs),
    ),
    pick: random.next(),
  };
}
