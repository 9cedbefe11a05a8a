import fc from 'fast-check';
import {Disturbance, runDrill, WriterAction, type Drill} from './drill.js';
import {MAX_AWAY_MS, MAX_REWRITE_MS} from './restoration.js';
import {StoreState} from './simulatedstore.js';

/** Number of upstreams in a drill. */
export const DRILL_UPSTREAMS = 12;
/** Longer than a drill: each change is written once. */
export const NO_HEARTBEATS_MS = 1_000_000;

/** How a drill can fail. */
export enum DrillFailure {
  /** An instance drops an upstream that runs and was written again in time. */
  Dropped = 'dropped',
  /** An instance lacks an upstream, a change or a configuration at the end. */
  Lacks = 'lacks',
  /** An instance uses an upstream again that has ended. */
  UsedAgain = 'usedAgain',
  /** An instance still has an entry at the end that is gone. */
  StillHas = 'stillHas',
  /** An entry or a configuration goes back to an older one. */
  WentBack = 'wentBack',
  /** An instance doesn't hear its peers, or isn't announced. */
  Peers = 'peers',
  Other = 'other',
}

const PATTERNS: Array<[RegExp, DrillFailure]> = [
  [/ was dropped, but is running/, DrillFailure.Dropped],
  [/ is used again after its end/, DrillFailure.UsedAgain],
  [/ went back /, DrillFailure.WentBack],
  [/ still has /, DrillFailure.StillHas],
  [/ lacks | has version /, DrillFailure.Lacks],
  [/ misses peers | isn't announced/, DrillFailure.Peers],
];

const between = (min: number, max: number) => fc.integer({min, max});

/** Draws drills: returns of the store beside all that may happen then. */
export const drillArbitrary: fc.Arbitrary<Drill> = fc.record({
  seed: fc.integer(),
  instances: fc.constantFrom(1, 2, 7, 24),
  upstreams: fc.constant(DRILL_UPSTREAMS),
  heartbeatMs: fc.constantFrom(1_200, NO_HEARTBEATS_MS),
  actions: fc.array(
    fc.record({
      action: fc.constantFrom(...Object.values(WriterAction)),
      upstream: between(0, DRILL_UPSTREAMS - 1),
      atMs: between(-6_000, 6_000),
    }),
    {minLength: 4, maxLength: 24},
  ),
  disturbances: fc.array(
    fc.record({
      disturbance: fc.constantFrom(...Object.values(Disturbance)),
      instance: fc.nat(30),
      atMs: between(-3_000, 5_000),
      forMs: between(200, 4_000),
    }),
    {maxLength: 4},
  ),
  restorations: fc.array(
    fc.record({
      afterMs: between(0, 2_500),
      ageMs: between(0, 6_000),
      awayMs: between(0, MAX_AWAY_MS),
      state: fc.constantFrom(
        StoreState.Refuses as const,
        StoreState.Silent as const,
      ),
      rewriteMs: between(200, MAX_REWRITE_MS),
      lapsedShare: fc.constantFrom(0, 0.3),
      isWhole: fc.boolean(),
      slowShare: fc.constantFrom(0, 0.2),
    }),
    {minLength: 1, maxLength: 2},
  ),
});

/** What came of the drills of a seed. */
export interface DrillFigures {
  seed: number;
  drills: number;
  /** Number of drills that failed. */
  failed: number;
  /** Number of drills that failed in each way; one may fail in several. */
  classes: Partial<Record<DrillFailure, number>>;
  /** The drills that failed, each by its place in the sequence of the seed. */
  failures: Array<{path: number; instances: number; problems: string[]}>;
}

/** The ways in which a drill failed. */
export function classesOf(problems: readonly string[]): Set<DrillFailure> {
  return new Set(
    problems.map(
      problem =>
        PATTERNS.find(([pattern]) => pattern.test(problem))?.[1] ??
        DrillFailure.Other,
    ),
  );
}

/** Runs the first `count` drills of a seed, also after one has failed. */
export async function runDrills(
  count: number,
  seed: number,
): Promise<DrillFigures> {
  const drills = fc.sample(drillArbitrary, {seed, numRuns: count});
  const classes: DrillFigures['classes'] = {};
  const failures: DrillFigures['failures'] = [];
  for (const [path, drill] of drills.entries()) {
    const problems = await runDrill(drill);
    if (problems.length === 0) continue;
    failures.push({path, instances: drill.instances, problems});
    for (const one of classesOf(problems)) {
      classes[one] = (classes[one] ?? 0) + 1;
    }
  }
  return {seed, drills: count, failed: failures.length, classes, failures};
}
