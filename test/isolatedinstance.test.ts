import {afterEach, describe, expect, test} from 'vitest';
import {LogEvent} from '../src/telemetry/index.js';
import {Cut, SeverableFleet} from './support/isolatedinstances.js';

/** Load before a cut, so that connections to all upstreams are kept. */
const BEFORE_MS = 400;
/** Time after the beginning of a cut from which callers must be served, in ms. */
const DETECTION_MS = 1_000;
const JUDGED_MS = 1_500;
/** Time between two first tries, in ms; short, so that new connections are needed. */
const BUSY_PERIOD_MS = 10;
/** Share of first tries that must be served at isolated instances. */
const MIN_SERVED_SHARE = 0.95;

let fleet: SeverableFleet;
afterEach(() => fleet.close());

/** Share of first tries at an instance that are served while it is isolated. */
async function servedShareIsolated(cut: Cut): Promise<number> {
  await fleet.load(0, BEFORE_MS);
  fleet.isolate(0, cut);
  await fleet.load(0, DETECTION_MS, BUSY_PERIOD_MS);
  const {served, sent} = await fleet.load(0, JUDGED_MS, BUSY_PERIOD_MS);
  return served / sent;
}

describe('callers of an instance that reaches no upstream are served', () => {
  test.each(Object.values(Cut))('when the cut is %s', async cut => {
    fleet = await SeverableFleet.open(['zone-a', 'zone-a', 'zone-b']);
    expect(await servedShareIsolated(cut)).toBeGreaterThanOrEqual(
      MIN_SERVED_SHARE,
    );
    expect(fleet.mostRuns()).toBe(1);
  });
});

describe('an instance that reaches no upstream', () => {
  test('uses its own connections again once the cut is over', async () => {
    fleet = await SeverableFleet.open(['zone-a', 'zone-b']);
    await servedShareIsolated(Cut.Reset);
    const {host} = fleet.gateway(0);
    const connections = () =>
      fleet.upstreams.reduce((sum, one) => sum + one.connectionsFrom(host), 0);
    expect(connections()).toBe(0);
    fleet.heal(0);
    await fleet.load(0, DETECTION_MS);
    const {failures} = await fleet.load(0, JUDGED_MS);
    expect(failures).toEqual([]);
    expect(connections()).toBeGreaterThan(0);
    expect(isolationsOf(0)).toEqual([
      {service: 'engine', isolated: true},
      {service: 'plain', isolated: true},
      {service: 'engine', isolated: false},
      {service: 'plain', isolated: false},
    ]);
  });

  test('loses no request when the peer that relays stops as planned', async () => {
    fleet = await SeverableFleet.open(['zone-a', 'zone-b', 'zone-b']);
    await servedShareIsolated(Cut.Reset);
    const load = fleet.load(0, JUDGED_MS, BUSY_PERIOD_MS);
    const stopped = fleet.gateway(1).gateway.stop();
    const {failures} = await load;
    await stopped;
    expect(failures).toEqual([]);
    expect(fleet.mostRuns()).toBe(1);
  });

  test('refuses what it can forward by no way, as not run', async () => {
    fleet = await SeverableFleet.open(['zone-a', 'zone-b']);
    fleet.isolate(1, Cut.Reset);
    await fleet.load(1, BEFORE_MS);
    await servedShareIsolated(Cut.Reset);
    const {failures} = await fleet.load(0, JUDGED_MS);
    const ran = new Set(fleet.upstreams.flatMap(({runs}) => runs));
    for (const {id, response} of failures) {
      if (response?.status === 503) expect(ran).not.toContain(id);
    }
    expect(failures.length).toBeGreaterThan(0);
  });
});

test('no instance takes itself for isolated when upstreams are gone for all', async () => {
  fleet = await SeverableFleet.open(['zone-a', 'zone-b']);
  await fleet.load(0, BEFORE_MS);
  for (const upstream of fleet.upstreams) upstream.close();
  await Promise.all([fleet.load(0, JUDGED_MS), fleet.load(1, JUDGED_MS)]);
  expect([...isolationsOf(0), ...isolationsOf(1)]).toEqual([]);
});

/** What an instance has logged of its isolation, in the order of services. */
function isolationsOf(index: number) {
  return fleet
    .gateway(index)
    .logLines.filter(({event}) => event === LogEvent.Isolated)
    .map(({service, isolated}) => ({service, isolated}))
    .sort(
      (a, b) =>
        Number(b.isolated) - Number(a.isolated) ||
        String(a.service).localeCompare(String(b.service)),
    );
}
