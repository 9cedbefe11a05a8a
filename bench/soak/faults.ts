import {Random} from '../random.js';

/** Faults and planned work that a schedule consists of. */
export enum FaultKind {
  Terminate = 'terminate',
  Kill = 'kill',
  Pause = 'pause',
  Hangup = 'hangup',
  /** The way of a gateway to the store is harmed. */
  StoreLink = 'storeLink',
  /** The store treats one gateway badly. */
  StoreCaller = 'storeCaller',
  Ingress = 'ingress',
  /** The store treats all gateways badly. */
  StoreAway = 'storeAway',
  /** The store returns from an older copy. */
  StoreRestored = 'storeRestored',
  StoreTrimmed = 'storeTrimmed',
  UpstreamCrash = 'upstreamCrash',
  UpstreamLeave = 'upstreamLeave',
  UpstreamTreatment = 'upstreamTreatment',
  UpstreamLink = 'upstreamLink',
  /** A sound upstream sends nothing for a while, and goes on. */
  UpstreamSilence = 'upstreamSilence',
  /** An upstream's process ends, and its connections with it, in good order. */
  UpstreamExit = 'upstreamExit',
  /** An upstream's next process listens before the last one ends in order. */
  UpstreamRestart = 'upstreamRestart',
  /** An upstream ends its connections in order, and goes on. */
  UpstreamHangup = 'upstreamHangup',
  /** An upstream's process ends behind an address that goes on accepting. */
  UpstreamAbsence = 'upstreamAbsence',
  /** All gateways are killed at once. */
  Blackout = 'blackout',
  /** All gateways stand still at once. */
  Standstill = 'standstill',
  /** The store refuses to write, and serves reads. */
  StoreReadOnly = 'storeReadOnly',
  /** Some upstreams answer by failures, and by bytes without end. */
  EndlessAnswers = 'endlessAnswers',
  /** Another writer adds an entry that names no upstream. */
  ForeignEntry = 'foreignEntry',
}

/** What the faults of a run depend on. */
export interface ScheduleOptions {
  seed: number;
  /** Whether rare faults come, and answers without a length; not by default. */
  rareFaults?: boolean;
  /**
   * Whether connections of upstreams end in order in the middle of answers, and
   * answers without a length come; not by default.
   */
  orderlyEnds?: boolean;
  /**
   * Whether all gateways stand still or end at once, beside a store that refuses
   * to write; not by default.
   */
  recordFaults?: boolean;
  /** Share of the upstreams that send bytes without end at times; 0 by default. */
  endlessShare?: number;
}

/** A fault at its time after the start of the faults, in ms. */
export interface ScheduledFault {
  atMs: number;
  kind: FaultKind;
  /** Chooses the gateway or upstream, from 0 to below 1. */
  target: number;
  /** Chooses the variant, from 0 to below 1. */
  variant: number;
  durationMs: number;
}

/** Weight of each kind in the schedule. */
const WEIGHTS: Record<FaultKind, number> = {
  [FaultKind.Terminate]: 3,
  [FaultKind.Kill]: 2,
  [FaultKind.Pause]: 2,
  [FaultKind.Hangup]: 2,
  [FaultKind.StoreLink]: 2,
  [FaultKind.StoreCaller]: 1,
  [FaultKind.Ingress]: 1,
  [FaultKind.StoreAway]: 1,
  [FaultKind.StoreRestored]: 1,
  [FaultKind.StoreTrimmed]: 1,
  [FaultKind.UpstreamCrash]: 3,
  [FaultKind.UpstreamLeave]: 4,
  [FaultKind.UpstreamTreatment]: 5,
  [FaultKind.UpstreamLink]: 3,
  // Scheduled apart, so that seeds keep their other faults.
  [FaultKind.UpstreamSilence]: 0,
  [FaultKind.UpstreamExit]: 0,
  [FaultKind.UpstreamRestart]: 0,
  [FaultKind.UpstreamHangup]: 0,
  [FaultKind.UpstreamAbsence]: 0,
  [FaultKind.Blackout]: 0,
  [FaultKind.Standstill]: 0,
  [FaultKind.StoreReadOnly]: 0,
  [FaultKind.EndlessAnswers]: 0,
  [FaultKind.ForeignEntry]: 0,
};
const MEAN_INTERVAL_MS = 600;
const MEAN_SILENCE_INTERVAL_MS = 1_200;
const MEAN_RARE_INTERVAL_MS = 1_500;
const MEAN_ORDERLY_END_INTERVAL_MS = 700;
const MEAN_RECORD_FAULT_INTERVAL_MS = 2_000;
const MEAN_ENDLESS_INTERVAL_MS = 3_000;
const SEED_FACTOR = 0x9e3779b1;
/** Tells the generator of rare faults from that of a seed's silences. */
const RARE_FAULTS_PART = 0x10_0000;
const ORDERLY_ENDS_PART = 0x20_0000;
const RECORD_FAULTS_PART = 0x30_0000;
const ENDLESS_PART = 0x40_0000;
const STORE_KINDS = new Set([
  FaultKind.StoreAway,
  FaultKind.StoreRestored,
  FaultKind.StoreTrimmed,
]);

/**
 * Returns the faults of a seed, in the order of time. The store as a whole has
 * faults under every second seed.
 */
function scheduleFaults(random: Random, lengthMs: number): ScheduledFault[] {
  const harmsStore = random.next() < 0.5;
  const kinds = Object.values(FaultKind)
    .filter(kind => harmsStore || !STORE_KINDS.has(kind))
    .flatMap(kind => Array<FaultKind>(WEIGHTS[kind]).fill(kind));
  const faults: ScheduledFault[] = [];
  let atMs = random.between(0, 500);
  while (atMs < lengthMs) {
    faults.push({
      atMs,
      kind: random.pick(kinds),
      target: random.next(),
      variant: random.next(),
      durationMs: random.between(200, 2_500),
    });
    // Some faults come at the same moment.
    if (random.next() < 0.8) {
      atMs += -Math.log(1 - random.next()) * MEAN_INTERVAL_MS;
    }
  }
  return faults;
}

/** Returns when upstreams fall silent, in the order of time. */
function scheduleSilences(random: Random, lengthMs: number): ScheduledFault[] {
  return scheduleApart(random, lengthMs, {
    meanIntervalMs: MEAN_SILENCE_INTERVAL_MS,
    shortestMs: 600,
    choose: () => FaultKind.UpstreamSilence,
  });
}

/** Returns faults that few deployments meet, in the order of time. */
function scheduleRareFaults(
  random: Random,
  lengthMs: number,
): ScheduledFault[] {
  const kinds = [
    FaultKind.UpstreamExit,
    FaultKind.UpstreamExit,
    FaultKind.Blackout,
    FaultKind.ForeignEntry,
  ];
  return scheduleApart(random, lengthMs, {
    meanIntervalMs: MEAN_RARE_INTERVAL_MS,
    shortestMs: 200,
    choose: () => random.pick(kinds),
  });
}

/** Returns when connections of upstreams end in order, in the order of time. */
function scheduleOrderlyEnds(
  random: Random,
  lengthMs: number,
): ScheduledFault[] {
  const kinds = [
    FaultKind.UpstreamRestart,
    FaultKind.UpstreamRestart,
    FaultKind.UpstreamHangup,
    FaultKind.UpstreamHangup,
    FaultKind.UpstreamAbsence,
  ];
  return scheduleApart(random, lengthMs, {
    meanIntervalMs: MEAN_ORDERLY_END_INTERVAL_MS,
    shortestMs: 200,
    choose: () => random.pick(kinds),
  });
}

/** Returns what may leave streams without a record, in the order of time. */
function scheduleRecordFaults(
  random: Random,
  lengthMs: number,
): ScheduledFault[] {
  const kinds = [
    FaultKind.Blackout,
    FaultKind.Standstill,
    FaultKind.Standstill,
    FaultKind.StoreReadOnly,
  ];
  return scheduleApart(random, lengthMs, {
    meanIntervalMs: MEAN_RECORD_FAULT_INTERVAL_MS,
    shortestMs: 1_300,
    choose: () => random.pick(kinds),
  });
}

/** Returns when some upstreams send bytes without end, in the order of time. */
function scheduleEndlessAnswers(
  random: Random,
  lengthMs: number,
): ScheduledFault[] {
  return scheduleApart(random, lengthMs, {
    meanIntervalMs: MEAN_ENDLESS_INTERVAL_MS,
    shortestMs: 1_500,
    choose: () => FaultKind.EndlessAnswers,
  });
}

/** Returns faults that come beside the others, which seeds keep thereby. */
function scheduleApart(
  random: Random,
  lengthMs: number,
  faults: {
    meanIntervalMs: number;
    shortestMs: number;
    choose: () => FaultKind;
  },
): ScheduledFault[] {
  const scheduled: ScheduledFault[] = [];
  let atMs = 0;
  for (;;) {
    atMs += -Math.log(1 - random.next()) * faults.meanIntervalMs;
    if (atMs >= lengthMs) return scheduled;
    scheduled.push({
      atMs,
      kind: faults.choose(),
      target: random.next(),
      variant: random.next(),
      durationMs: random.between(faults.shortestMs, 2_500),
    });
  }
}

/**
 * Returns the faults of a seed in the order of time; under even seeds, upstreams
 * fall silent, too.
 */
export function faultsOf(
  {
    seed,
    rareFaults = false,
    orderlyEnds = false,
    recordFaults = false,
    endlessShare = 0,
  }: ScheduleOptions,
  lengthMs: number,
): ScheduledFault[] {
  // Generators with small seeds begin with nearly the same numbers.
  const randomOf = (part: number) =>
    new Random(Math.imul(seed + part, SEED_FACTOR));
  return [
    ...scheduleFaults(new Random(seed), lengthMs),
    ...(seed % 2 === 0 ? scheduleSilences(randomOf(0), lengthMs) : []),
    ...(rareFaults
      ? scheduleRareFaults(randomOf(RARE_FAULTS_PART), lengthMs)
      : []),
    ...(orderlyEnds
      ? scheduleOrderlyEnds(randomOf(ORDERLY_ENDS_PART), lengthMs)
      : []),
    ...(recordFaults
      ? scheduleRecordFaults(randomOf(RECORD_FAULTS_PART), lengthMs)
      : []),
    ...(endlessShare > 0
      ? scheduleEndlessAnswers(randomOf(ENDLESS_PART), lengthMs)
      : []),
  ].sort((a, b) => a.atMs - b.atMs);
}
