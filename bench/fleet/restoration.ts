import {Topic, type RegistryEntry} from '../../src/registry/index.js';
import type {Random} from '../random.js';
import type {SimulatedFleet} from './simulatedfleet.js';
import {RESPONSE_MS, StoreState} from './simulatedstore.js';

/** How the store is away and returns from an older copy of its data. */
export interface Restoration {
  /** Age of the copy when the store leaves, in ms. */
  ageMs: number;
  /** Time until it returns, in ms. */
  awayMs: number;
  /** How it treats calls meanwhile. */
  state: StoreState.Refuses | StoreState.Silent;
  /** Time after the return in which all is written again, in ms. */
  rewriteMs: number;
  /** Share of the entries that lapse meanwhile, 0 to 1. */
  lapsedShare: number;
  /** Whether every lost configuration is published again, or the newest only. */
  isWhole: boolean;
  /** Share of the answers after the return that are slow, 0 to 1. */
  slowShare: number;
}

/** Longest time that a drawn restoration is away, in ms. */
export const MAX_AWAY_MS = 1_500;
/** Longest time in which all is written again, in ms. */
export const MAX_REWRITE_MS = 2_000;
/** Time after the return in which answers may be slow, in ms. */
const SLOW_ANSWERS_MS = 2_000;
/** Slowest answer; calls fail after 1,000 ms. */
const MAX_RESPONSE_MS = 900;

/** Draws a restoration from a random source. */
export function drawRestoration(random: Random): Restoration {
  return {
    ageMs: random.between(0, 6_000),
    awayMs: random.between(0, MAX_AWAY_MS),
    state: random.pick([StoreState.Refuses, StoreState.Silent]),
    rewriteMs: random.between(200, MAX_REWRITE_MS),
    lapsedShare: random.pick([0, 0.3]),
    isWhole: random.next() < 0.5,
    slowShare: random.pick([0, 0.2]),
  };
}

/**
 * Takes the store away and brings it back from a copy. The operator and the
 * upstreams write again what it lacks, in a random order.
 */
export function restoreStore(
  fleet: SimulatedFleet,
  restoration: Restoration,
): void {
  const {base, store, random} = fleet;
  const {awayMs, state, slowShare} = restoration;
  for (const instance of fleet.instances) instance.isDisturbed = true;
  store.leave(state);
  base.after(awayMs, () => {
    if (!store.isAway) return;
    returnFromCopy(fleet, restoration);
    if (slowShare === 0) return;
    store.responseMs = () =>
      random.next() < slowShare
        ? random.between(RESPONSE_MS, MAX_RESPONSE_MS)
        : RESPONSE_MS;
    base.after(SLOW_ANSWERS_MS, () => {
      store.responseMs = () => RESPONSE_MS;
    });
  });
}

function returnFromCopy(
  fleet: SimulatedFleet,
  {ageMs, awayMs, rewriteMs, lapsedShare, isWhole}: Restoration,
): void {
  const {base, store, random, writers} = fleet;
  fleet.hasLost = true;
  writers.noteReturn(store.returnFromCopy(ageMs + awayMs));
  for (const {key} of store.newest(Topic.Upstreams)) {
    if (random.next() < lapsedShare) writers.lapse(key);
  }
  for (const index of writers.unwritten) {
    base.after(random.next() * rewriteMs, () => writers.writeAgain(index));
  }
  base.after(random.next() * rewriteMs, () => writers.publishAgain(isWhole));
}

/**
 * Where the store differs from what was written, and connected instances from
 * the store.
 */
export function disagreements(fleet: SimulatedFleet): string[] {
  const {store, writers, instances} = fleet;
  const announced = new Set(store.newest(Topic.Instances).map(({key}) => key));
  const expected = namesOf(writers.entries());
  const stored = store
    .newest(Topic.Upstreams)
    .map(({value}) => JSON.parse(String(value)) as RegistryEntry);
  const connected = instances.filter(({isConnected}) => isConnected);
  const found = connected.flatMap(instance => {
    const {name} = instance.place;
    const {configurationVersion: version} = instance;
    const known = namesOf(instance.registry.usable());
    return [
      ...(version === writers.version
        ? []
        : [`${name} has version ${version}, not ${writers.version}`]),
      ...differenceOf(known, expected).map(text => `${name} ${text}`),
      ...(announced.has(name) ? [] : [`${name} isn't announced`]),
    ];
  });
  return [
    ...differenceOf(namesOf(stored), expected).map(text => `store ${text}`),
    ...found,
  ];
}

/** Names that state all that matters for the use of an upstream. */
function namesOf(entries: Iterable<RegistryEntry>): Set<string> {
  return new Set(
    [...entries].map(
      ({id, state, startedAt = 0}) => `${id}/${startedAt} ${state}`,
    ),
  );
}

function differenceOf(
  known: ReadonlySet<string>,
  expected: ReadonlySet<string>,
): string[] {
  return [
    ...[...expected]
      .filter(name => !known.has(name))
      .map(name => `lacks ${name}`),
    ...[...known]
      .filter(name => !expected.has(name))
      .map(name => `still has ${name}`),
  ];
}
