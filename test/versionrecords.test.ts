import fc from 'fast-check';
import {ok} from 'neverthrow';
import {pino} from 'pino';
import {describe, expect, test} from 'vitest';
import {Peers} from '../src/fleet/index.js';
import {
  isVersionRecord,
  SoftwareVersions,
  VersionMix,
  VersionRecords,
} from '../src/origin/index.js';
import {StoreEpoch, type KeyedRecord} from '../src/registry/index.js';
import {ManualTimer} from '../src/timer/index.js';

const SERVICE = 'engines';
const V1 = {service: SERVICE, softwareVersion: 'v1'};
const V2 = {service: SERVICE, softwareVersion: 'v2'};
const logger = pino({level: 'silent'});

/** An instance that keeps the versions of its upstreams in a store. */
class Instance {
  readonly timer = new ManualTimer();
  readonly versions: SoftwareVersions;
  /** What it has written, oldest first. */
  readonly written: KeyedRecord[] = [];
  readonly records: VersionRecords;

  constructor(rank = 0, isFirstStart = true) {
    this.versions = new SoftwareVersions(this.timer, isFirstStart);
    this.records = new VersionRecords({
      versions: this.versions,
      epochs: new StoreEpoch(logger, this.timer),
      timer: this.timer,
      logger,
      random: () => 0.5,
      rank: () => rank,
      isKnown: () => true,
      feed: {
        put: (_topic, key, value) => {
          this.written.push({key, value, offset: this.written.length});
          return Promise.resolve(ok({epoch: 0}));
        },
      },
    });
    this.records.start();
  }

  /** Takes the registered upstreams. */
  see(...upstreams: Array<typeof V1>): void {
    this.versions.apply(upstreams);
    this.records.check();
  }

  /** The versions in the newest record that it has written. */
  get newest(): unknown {
    const value = this.written.at(-1)?.value;
    if (value === undefined) return undefined;
    return (JSON.parse(String(value)) as Record<string, unknown>)[
      'softwareVersions'
    ];
  }
}

describe('the record of software versions', () => {
  test('is written when a version joins, and 30 s after it has left', async () => {
    const instance = new Instance();
    instance.records.replace([]);
    instance.see(V1);
    await instance.timer.advance(1_000);
    const seen = [instance.newest];
    instance.see(V1, V2);
    await instance.timer.advance(1_000);
    seen.push(instance.newest);
    instance.see(V2);
    await instance.timer.advance(25_000);
    seen.push(instance.newest);
    await instance.timer.advance(45_000);
    seen.push(instance.newest);
    expect(seen).toEqual([['v1'], ['v1', 'v2'], ['v1', 'v2'], ['v2']]);
    expect(instance.written).toHaveLength(3);
  });

  // A record of what a new instance sees must not count as one of all there was.
  test('is complete only if its writer knows of all versions', async () => {
    const instance = new Instance(0, false);
    const seen: string[] = [];
    const note = (what: string) => {
      const {newest, versions} = instance;
      seen.push(`${what}: ${String(newest)}, ${versions.mixOf(SERVICE)}`);
    };
    instance.records.replace([]);
    instance.see(V2);
    await instance.timer.advance(2_000);
    note('2 s after the start');
    await instance.timer.advance(4_000);
    instance.records.add(instance.written);
    note('6 s');
    const isComplete = () => String(instance.written.at(-1)?.value);
    expect(isComplete()).toContain('"complete":false');
    await instance.timer.advance(30_000);
    note('36 s');
    expect(isComplete()).toContain('"complete":true');
    expect(seen).toMatchInlineSnapshot(`
      [
        "2 s after the start: undefined, unrecorded",
        "6 s: v2, unrecorded",
        "36 s: v2, sole",
      ]
    `);
  });

  test('that is complete is not replaced by an instance that knows less', async () => {
    const first = new Instance();
    const other = new Instance(0, false);
    for (const instance of [first, other]) {
      instance.records.replace([]);
      instance.see(V1);
    }
    await first.timer.advance(2_000);
    await other.timer.advance(2_000);
    other.records.add(first.written);
    await other.timer.advance(60_000);
    expect([first.written.length, other.written.length]).toEqual([1, 0]);
  });

  // Earlier builds wrote what they saw, whatever they knew.
  test('of an earlier build is not taken for complete', async () => {
    const instance = new Instance(0, false);
    const record = {service: SERVICE, softwareVersions: ['v1']};
    const value = Buffer.from(JSON.stringify(record));
    instance.records.replace([{key: keyOfSound, value, offset: 0}]);
    instance.see(V1);
    await instance.timer.advance(1_000);
    expect(instance.versions.mixOf(SERVICE)).toBe(VersionMix.Unrecorded);
  });

  test('is left to others where they write in time', async () => {
    const first = new Instance(0);
    const last = new Instance(100);
    for (const instance of [first, last]) {
      instance.records.replace([]);
      instance.see(V1);
      await instance.timer.advance(1_000);
    }
    last.records.add(first.written);
    await last.timer.advance(60_000);
    expect([first.written.length, last.written.length]).toEqual([1, 0]);
  });

  test('keeps versions that another instance knows and this one does not', async () => {
    const instance = new Instance();
    const other = new Instance();
    other.records.replace([]);
    other.see(V1, V2);
    await other.timer.advance(1_000);
    instance.records.replace(other.written);
    instance.see(V1);
    await instance.timer.advance(20_000);
    expect(instance.written).toEqual([]);
    expect(instance.versions.mixOf(SERVICE)).toBe(VersionMix.Mixed);
  });

  test('is written again where the store has lost it', async () => {
    const instance = new Instance();
    instance.records.replace([]);
    instance.see(V1, V2);
    await instance.timer.advance(1_000);
    instance.records.replace([]);
    await instance.timer.advance(1_000);
    expect(instance.written).toHaveLength(2);
  });

  // Earlier builds take each record of the topic for an address.
  test('is no address of an instance', async () => {
    const instance = new Instance();
    instance.records.replace([]);
    instance.see(V1);
    await instance.timer.advance(1_000);
    const peers = new Peers('entry-0', 'zone-a', logger, () => 0);
    expect(instance.written).toHaveLength(1);
    expect(peers.update(instance.written)).toEqual([]);
    expect(peers.size).toBe(0);
  });

  // One entry of another writer ended every process that read it.
  test('that is nonsense is ignored, and the others are followed', () => {
    const other = new Instance();
    other.records.replace([]);
    fc.assert(
      fc.property(
        fc.oneof(
          fc.uint8Array().map(bytes => Buffer.from(bytes)),
          fc.json().map(text => Buffer.from(text)),
          fc
            .record({
              service: fc.anything(),
              softwareVersions: fc.oneof(
                fc.anything(),
                fc.array(fc.string({maxLength: 400}), {maxLength: 100}),
              ),
            })
            .map(record => Buffer.from(JSON.stringify(record) ?? '')),
          fc.constant(Buffer.from('['.repeat(200_000))),
        ),
        fc.string(),
        (value, key) => {
          const instance = new Instance();
          const sound = {
            key: keyOfSound,
            offset: 1,
            value: Buffer.from(
              JSON.stringify({
                service: SERVICE,
                softwareVersions: ['v1', 'v2'],
              }),
            ),
          };
          const nonsense = {key: `softwareVersions/${key}`, offset: 0, value};
          expect(isVersionRecord(nonsense)).toBe(true);
          instance.records.replace([nonsense, {...sound, offset: 2}]);
          instance.see(V1);
          expect(instance.versions.mixOf(SERVICE)).toBe(VersionMix.Mixed);
          expect(instance.records.known()).toHaveLength(1);
        },
      ),
      {numRuns: 300},
    );
  });
});

/** Key of the record of [[SERVICE]], as an instance writes it. */
const keyOfSound = await (async () => {
  const instance = new Instance();
  instance.records.replace([]);
  instance.see(V1);
  await instance.timer.advance(1_000);
  return instance.written[0]?.key ?? '';
})();
