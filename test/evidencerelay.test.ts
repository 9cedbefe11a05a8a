import {ok} from 'neverthrow';
import {pino} from 'pino';
import {describe, expect, it, test} from 'vitest';
import {SimulatedQuarantine} from '../bench/fleet/simulatedquarantine.js';
import {
  decodeEvidence,
  encodeEvidence,
  encodeHold,
} from '../src/fleet/evidencemessage.js';
import {EvidenceRelay} from '../src/fleet/evidencerelay.js';
import {HoldRecords, Peers} from '../src/fleet/index.js';
import {gossipMessageSchema} from '../src/fleet/message.js';
import {HoldState, type Evidence, type Hold} from '../src/quarantine/index.js';
import {StoreEpoch, Topic, type Feed} from '../src/registry/index.js';
import {ManualTimer} from '../src/timer/index.js';

const hold: Hold = {
  type: 'hold',
  part: 'p1',
  state: HoldState.Held,
  revision: 1,
  crashes: 2,
  decidedAt: 5,
};

/** A logger that keeps what it writes. */
function openLog() {
  const lines: string[] = [];
  const logger = pino({}, {write: line => void lines.push(line)});
  return {lines, logger};
}

describe('evidence in a message', () => {
  const message = {from: 'entry-1', loads: [], readings: [], waiting: []};

  it('is optional, and ignored by a build before it', () => {
    expect(gossipMessageSchema.parse(message).evidence).toBeUndefined();
    const evidence = [encodeEvidence(hold, 0)];
    const earlier = gossipMessageSchema.omit({evidence: true});
    expect(earlier.parse({...message, evidence})).toEqual(
      earlier.parse(message),
    );
  });

  it('tells ages, so that times agree between clocks', () => {
    const items: Evidence[] = [
      {
        type: 'crash',
        upstream: 'i-1',
        startedAt: 9,
        reporter: 'entry-1',
        suspects: [{request: 'r1', openMs: 0, parts: ['p1', 'p2']}],
        at: 800,
      },
      {type: 'clearance', part: 'p2', at: 900},
      hold,
    ];
    const wire: unknown = JSON.parse(
      JSON.stringify(items.map(item => encodeEvidence(item, 1_000))),
    );
    const decoded = (wire as unknown[]).map(item => decodeEvidence(item, 50));
    expect(decoded).toEqual([
      {...items[0], at: -150},
      {...items[1], at: -50},
      hold,
    ]);
  });

  const open = () => {
    const timer = new ManualTimer();
    const log = new SimulatedQuarantine('entry-1', timer);
    const {lines, logger} = openLog();
    const relay = new EvidenceRelay({
      log,
      timer,
      logger,
      random: () => 0,
      zoneSize: () => 10,
      added: () => undefined,
    });
    return {timer, log, lines, relay};
  };

  it('is ignored item by item if malformed, and logged once', () => {
    const {log, lines, relay} = open();
    relay.receive([['later'], 7, ['h', 'p', 'odd'], encodeEvidence(hold, 0)]);
    expect([log.holds(), lines.length]).toEqual([[hold], 1]);
  });

  it('has a limited size, with decisions first, and ends', () => {
    const {timer, log, relay} = open();
    const parts = Array.from({length: 1_000}, (_, index) => `part-${index}`);
    log.crash('i-1', parts);
    log.set('p1', HoldState.Held);
    const told = new Map<string, number>();
    let rounds = 0;
    for (; relay.isPending; rounds++) {
      const {items, isUrgent} = relay.take(2);
      if (rounds === 0) expect(items[0]?.[1]).toBe('p1');
      expect(isUrgent).toBe(true);
      expect(JSON.stringify(items).length).toBeLessThan(4_200);
      for (const item of items) {
        const evidence = decodeEvidence(item, timer.now());
        if (evidence?.type !== 'crash') continue;
        for (const suspect of evidence.suspects) {
          const [part = ''] = suspect.parts;
          told.set(part, (told.get(part) ?? 0) + 1);
        }
      }
      expect(rounds).toBeLessThan(100);
    }
    expect([...told.keys()].sort()).toEqual(parts.sort());
    expect(new Set(told.values())).toEqual(new Set([3]));
    expect(relay.take(2)).toEqual({items: [], isUrgent: false});
  });

  it('is told again to an origin that was silent', async () => {
    const {timer, log, relay} = open();
    relay.noteHeard('entry-2');
    expect(relay.isPending).toBe(false);
    log.clear('p1');
    log.set('p2', HoldState.Held);
    await timer.advance(6_000);
    relay.noteHeard('entry-2');
    while (relay.isPending) relay.take(2);
    await timer.advance(4_000);
    relay.noteHeard('entry-2');
    expect(relay.isPending).toBe(false);
    relay.noteHeard('zone:zone-b');
    expect(relay.take(2).items.map(([kind]) => kind)).toEqual(['h', 'p']);
  });
});

test('earlier builds take no stored hold for an instance', () => {
  const {lines, logger} = openLog();
  const peers = new Peers('entry-0', '', logger, () => 0.5);
  const address = Buffer.from(JSON.stringify({host: 'h', port: 1}));
  peers.update([{key: 'entry-1', value: address, offset: 0}]);
  const logged = lines.length;
  const rank = peers.rankOf(Topic.Instances, 'entry-0');
  const record = {key: 'hold/1', value: encodeHold(hold)};
  expect(peers.update([{...record, offset: 1}])).toEqual([]);
  expect([peers.size, lines.length]).toEqual([1, logged]);
  expect(peers.rankOf(Topic.Instances, 'entry-0')).toBe(rank);
});

describe('stored holds', () => {
  const open = () => {
    const timer = new ManualTimer();
    const log = new SimulatedQuarantine('entry-1', timer);
    const {lines, logger} = openLog();
    const puts: Array<{key: string; value: Buffer}> = [];
    const feed: Pick<Feed, 'put'> = {
      put: (_topic, key, value) => {
        puts.push({key, value});
        return Promise.resolve(ok({epoch: 0}));
      },
    };
    const records = new HoldRecords({
      log,
      feed,
      epochs: new StoreEpoch(logger, timer),
      timer,
      logger,
      random: () => 0.5,
      rank: () => 0,
      isKnown: () => true,
    });
    return {timer, log, lines, puts, records};
  };

  it('have keys of one length and survive, whatever the id of the part', async () => {
    const parts = ['', 'p', 'ü/ "\n', 'x'.repeat(5_000)];
    const writer = open();
    for (const part of parts) writer.log.set(part, HoldState.Held);
    await writer.timer.advance(1_000);
    expect(writer.puts.map(({key}) => key.length)).toEqual([21, 21, 21, 21]);
    const reader = open();
    reader.records.replace(
      writer.puts.map((record, offset) => ({...record, offset})),
    );
    expect(
      reader.log
        .holds()
        .map(({part}) => part)
        .sort(),
    ).toEqual(parts.sort());
    await reader.timer.advance(10_000);
    expect(reader.puts).toEqual([]);
  });

  it('are ignored if they are malformed, and logged once each', () => {
    const {log, lines, records} = open();
    const odd = ['{', '{}', JSON.stringify({...hold, revision: -1})];
    const malformed = odd.map((text, offset) => ({
      key: `hold/${offset}`,
      value: Buffer.from(text),
      offset,
    }));
    // The key belongs to another part.
    const value = Buffer.from(JSON.stringify(hold));
    malformed.push({key: 'hold/0000000000000000', value, offset: 9});
    expect([records.add(malformed), records.add(malformed)]).toEqual([[], []]);
    expect([log.holds(), lines.length]).toEqual([[], 4]);
  });

  it('are written again when a snapshot lacks them or has an older one', async () => {
    const {timer, log, puts, records} = open();
    log.set('p1', HoldState.Held);
    await timer.advance(1_000);
    const [first] = puts;
    log.set('p1', HoldState.Released);
    await timer.advance(1_000);
    expect(puts).toHaveLength(2);
    records.replace(first === undefined ? [] : [{...first, offset: 1}]);
    await timer.advance(1_000);
    records.replace([]);
    await timer.advance(1_000);
    expect(puts.slice(1).map(({value}) => String(value))).toEqual(
      [1, 2, 3].map(() => String(puts[1]?.value)),
    );
  });
});
