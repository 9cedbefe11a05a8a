import {execFileSync} from 'node:child_process';
import {join} from 'node:path';
import {afterEach, beforeAll, describe, expect, test} from 'vitest';
import {BOUNDS} from '../bench/soak/deployment.js';
import {LogEvent} from '../src/telemetry/index.js';
import {sleep} from './support/silentupstream.js';
import {EVENTS, eventsIn} from './support/versionedengines.js';
import {
  isOfOneVersion,
  VERSION_RECORDS,
  VersionedProcesses,
  type LeftStream,
} from './support/versionedprocesses.js';

const STREAMS = 12;
const LIMIT_MS = 60_000;
const fleets: VersionedProcesses[] = [];

beforeAll(() => {
  execFileSync(process.execPath, [join('scripts', 'bundle.mjs')]);
});

afterEach(async () => {
  await Promise.all(fleets.splice(0).map(fleet => fleet.close()));
});

async function open(
  versions: string[],
  size: number,
  options: {isReadOnly?: boolean} = {},
): Promise<VersionedProcesses> {
  const fleet = await VersionedProcesses.open(versions, size, options);
  fleets.push(fleet);
  return fleet;
}

/** Begins streams at an instance, and leaves them. */
function beginStreams(
  fleet: VersionedProcesses,
  index: number,
): Promise<LeftStream[]> {
  return Promise.all(
    Array.from({length: STREAMS}, (_, n) =>
      fleet.beginAndLeave(index, `r${index}-${n}`),
    ),
  );
}

/**
 * Takes streams up at an instance. Returns the statuses, and whether all events
 * of each stream are of one version.
 */
async function takeUpAll(
  fleet: VersionedProcesses,
  index: number,
  streams: readonly LeftStream[],
) {
  const taken = await Promise.all(
    streams.map(async stream => {
      const rest = await fleet.takeUp(index, stream);
      return {
        status: rest?.status,
        isOfOneVersion: isOfOneVersion(stream, rest),
        isWhole: eventsIn(rest).at(-1)?.id === EVENTS,
      };
    }),
  );
  return {
    statuses: [...new Set(taken.map(({status}) => status))],
    mixed: taken.filter(one => !one.isOfOneVersion).length,
    whole: taken.filter(({isWhole}) => isWhole).length,
  };
}

describe('streams of a version that has left, after a loss of all instances', () => {
  // They went on at the other version, as no record counted as one of no others.
  test(
    'are refused if the store took no writes of the instances',
    async () => {
      const fleet = await open(['v1', 'v2'], 2, {isReadOnly: true});
      const streams = await beginStreams(fleet, 0);
      fleet.engines.removeEngine(0);
      await fleet.killAll();
      await fleet.start();
      const taken = await takeUpAll(fleet, 1, streams);
      expect(taken).toEqual({statuses: [503], mixed: 0, whole: 0});
      expect(fleet.reasonsOf(1)).toEqual(['no_record']);
    },
    LIMIT_MS,
  );

  // The instances write a record again, which tells nothing of earlier versions.
  test(
    'are refused if the store has lost what the instances wrote',
    async () => {
      const fleet = await open(['v1', 'v2'], 2);
      const streams = await beginStreams(fleet, 0);
      await fleet.untilRecorded(['v1', 'v2']);
      fleet.engines.removeEngine(0);
      await fleet.killAll();
      fleet.forgetRecords();
      await fleet.start();
      await fleet.untilRecorded(['v2']);
      const taken = await takeUpAll(fleet, 1, streams);
      expect(taken).toEqual({statuses: [503], mixed: 0, whole: 0});
      expect(fleet.reasonsOf(1)).toEqual(['no_record']);
    },
    LIMIT_MS,
  );
});

describe('streams that began where one version served', () => {
  // The first start of all writes what there is to know.
  test(
    'go on after a loss of all instances in their first seconds',
    async () => {
      const fleet = await open(['v1', 'v1'], 2);
      const streams = await beginStreams(fleet, 0);
      await fleet.untilRecorded(['v1']);
      await fleet.killAll();
      await fleet.start();
      const taken = await takeUpAll(fleet, 1, streams);
      expect(taken).toEqual({statuses: [200], mixed: 0, whole: STREAMS});
    },
    LIMIT_MS,
  );

  // Streams begun before the first record stands are told to other instances.
  test(
    'go on at another instance while the store has no record',
    async () => {
      const fleet = await open(['v1', 'v1'], 2);
      await fleet.killAll();
      fleet.forgetRecords(VERSION_RECORDS);
      await fleet.start();
      const streams = await beginStreams(fleet, 0);
      await fleet.gateways[0]?.kill();
      const taken = await takeUpAll(fleet, 1, streams);
      expect(taken).toEqual({statuses: [200], mixed: 0, whole: STREAMS});
    },
    LIMIT_MS,
  );
});

describe('streams of a lost instance beside a release', () => {
  const stalls = [
    {what: 'the others', suspended: [1, 2], ms: 1_600},
    {what: 'all', suspended: [0, 1, 2], ms: 3_000},
  ];
  // For 30 s after a stall, nobody concluded that they had begun before the release.
  test.each(stalls)(
    'go on after $what stood still for $ms ms while one version served',
    async ({suspended, ms}) => {
      const fleet = await open(['v1', 'v1', 'v1'], 3);
      await fleet.suspend(
        suspended.flatMap(index => fleet.gateways[index] ?? []),
        ms,
      );
      await sleep(BOUNDS.stableWindowMs);
      const streams = await beginStreams(fleet, 0);
      await fleet.gateways[0]?.kill();
      await fleet.engines.addEngines(['v2']);
      for (const index of [1, 2]) {
        await fleet.untilLogged(index, LogEvent.Stall, 1);
        await fleet.untilLogged(index, LogEvent.Upstream, 4);
        expect(await takeUpAll(fleet, index, streams)).toEqual({
          statuses: [200],
          mixed: 0,
          whole: STREAMS,
        });
      }
    },
    LIMIT_MS,
  );
});
