import {pino} from 'pino';
import {afterEach, describe, expect, it} from 'vitest';
import {
  LEASE_STREAM,
  LeaseManager,
  LeaseTable,
  type HeldLease,
  type LeaseRecord,
} from '../src/lease/index.js';
import {ManualTimer} from '../src/timer/index.js';
import {seededRandom, type Random} from '../stand-ins/index.js';
import {MemoryLog} from './support/memorylog.js';
import {PausableProcess} from './support/pausableprocess.js';

const TERM_MS = 15_000;
const TAKEOVER_LIMIT_MS = 20_000;
const STEP_MS = 250;
const silent = pino({level: 'silent'});

interface Contender {
  name: string;
  process: PausableProcess;
  manager: LeaseManager;
}

/** Several instances on one log, in virtual time. */
class Fleet {
  readonly timer = new ManualTimer();
  readonly log = new MemoryLog(this.timer);
  readonly contenders: Contender[] = [];
  /** Times at which two instances held the lease. */
  readonly overlaps: number[] = [];
  readonly fencing: number[] = [];

  add(pools = ['pool']): Contender {
    const rank = this.contenders.length;
    const name = `instance-${rank}`;
    const process = new PausableProcess(this.timer, this.log);
    const manager = new LeaseManager({
      log: process,
      timer: process,
      logger: silent,
      holder: name,
      termMs: TERM_MS,
      rankOf: () => rank,
    });
    manager.contend(pools);
    manager.start();
    const contender = {name, process, manager};
    this.contenders.push(contender);
    return contender;
  }

  holders(): Array<{name: string; lease: HeldLease}> {
    return this.contenders.flatMap(({name, manager}) => {
      const lease = manager.held('pool');
      return lease === undefined ? [] : [{name, lease}];
    });
  }

  async advance(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      await this.timer.advance(STEP_MS);
      this.check();
    }
  }

  /** Advances until `name` holds the lease; returns the time it took. */
  async untilHeldBy(name: string): Promise<number> {
    const start = this.timer.now();
    while (!this.holders().some(holder => holder.name === name)) {
      if (this.timer.now() - start > 10 * TERM_MS) return Infinity;
      await this.advance(STEP_MS);
    }
    return this.timer.now() - start;
  }

  types(): string[] {
    return this.log
      .records(LEASE_STREAM)
      .map(({value}) => (value as LeaseRecord).type);
  }

  /** Lets every task end. */
  async stop(): Promise<void> {
    const stopped = this.contenders.map(({process, manager}) => {
      process.resume();
      return manager.stop();
    });
    await this.timer.advance(10_000);
    await Promise.all(stopped);
  }

  private check(): void {
    const holders = this.holders();
    if (holders.length > 1) this.overlaps.push(this.timer.now());
    for (const {lease} of holders) {
      if (this.fencing.at(-1) !== lease.fencing) {
        this.fencing.push(lease.fencing);
      }
    }
  }
}

const sum = <Item>(items: Item[], of: (item: Item) => number) =>
  items.reduce((total, item) => total + of(item), 0);

let fleet: Fleet;

afterEach(() => fleet.stop());

function openFleet(count: number): Fleet {
  fleet = new Fleet();
  for (let index = 0; index < count; index++) fleet.add();
  return fleet;
}

describe('a lease', () => {
  it('goes to one of several contenders, who keeps it', async () => {
    const {log} = openFleet(3);
    await fleet.advance(120_000);
    expect(fleet.holders().map(({name}) => name)).toEqual(['instance-0']);
    expect(fleet.fencing).toEqual([0]);
    expect(fleet.overlaps).toEqual([]);
    expect(fleet.types().filter(type => type === 'grant')).toHaveLength(1);
    expect(log.records(LEASE_STREAM).length).toBeLessThan(30);
  });

  it('is taken over in bounded time when the holder vanishes', async () => {
    const [first] = openFleet(2).contenders;
    await fleet.advance(30_000);
    first?.process.pause();
    const tookMs = await fleet.untilHeldBy('instance-1');
    expect(tookMs).toBeLessThan(TAKEOVER_LIMIT_MS);
    expect(fleet.overlaps).toEqual([]);
  });

  it('is not held by a paused holder once it goes on', async () => {
    const [first] = openFleet(2).contenders;
    await fleet.advance(30_000);
    first?.process.pause();
    await fleet.advance(60_000);
    first?.process.resume();
    expect(first?.manager.held('pool')).toBeUndefined();
    await fleet.advance(60_000);
    expect(fleet.holders().map(({name}) => name)).toEqual(['instance-1']);
    expect(fleet.fencing).toHaveLength(2);
    expect(fleet.overlaps).toEqual([]);
  });

  it.each(['grant', 'renewal'])(
    'ends a term after the %s was asked for, not answered',
    async type => {
      const {log, contenders} = openFleet(1);
      for (const {process} of contenders) process.responseDelayMs = 4_000;
      while (fleet.types().at(-1) !== type) await fleet.advance(STEP_MS);
      await fleet.advance(4_500);
      expect(fleet.holders()).toHaveLength(1);
      log.down = true;
      await fleet.advance(TERM_MS - 4_500);
      expect(fleet.holders()).toEqual([]);
    },
  );

  it('is passed on at once when it is released', async () => {
    const [first] = openFleet(2).contenders;
    await fleet.advance(30_000);
    void first?.manager.stop();
    expect(await fleet.untilHeldBy('instance-1')).toBeLessThan(TERM_MS / 3);
  });

  it('is gained and kept although every answer is lost', async () => {
    const {contenders} = openFleet(2);
    for (const {process} of contenders) process.losesResponse = () => true;
    await fleet.advance(120_000);
    expect(fleet.fencing).toEqual([0]);
    expect(fleet.holders()).toHaveLength(1);
    expect(fleet.types().filter(type => type === 'grant')).toHaveLength(1);
  });

  it('ends with its term in an outage, and begins again after it', async () => {
    const {log} = openFleet(3);
    await fleet.advance(30_000);
    log.down = true;
    await fleet.advance(TERM_MS);
    expect(fleet.holders()).toEqual([]);
    const asked = () => sum(fleet.contenders, c => c.manager.usage.appends);
    const early = asked();
    await fleet.advance(3_600_000);
    expect(asked() - early).toBeLessThan(10);
    const before = log.records(LEASE_STREAM).length;
    log.down = false;
    await fleet.advance(TAKEOVER_LIMIT_MS);
    expect(fleet.holders()).toHaveLength(1);
    expect(log.records(LEASE_STREAM).length - before).toBeLessThan(10);
    expect(fleet.overlaps).toEqual([]);
  });

  it('is respected by an instance that cannot read how it began', async () => {
    const {log} = openFleet(1);
    await fleet.advance(60_000);
    log.expire(LEASE_STREAM, 0);
    const late = fleet.add();
    await fleet.advance(60_000);
    expect(late.manager.holderOf('pool')).toBe('instance-0');
    expect(fleet.fencing).toEqual([0]);
    fleet.contenders[0]?.process.pause();
    expect(await fleet.untilHeldBy(late.name)).toBeLessThan(TAKEOVER_LIMIT_MS);
    expect(fleet.overlaps).toEqual([]);
  });

  it('renews all leases of a holder with one record', async () => {
    fleet = new Fleet();
    fleet.add(['pool', 'second', 'third']);
    await fleet.advance(60_000);
    const types = fleet.types();
    expect(types.filter(type => type === 'grant')).toHaveLength(3);
    expect(types.length).toBeLessThan(20);
  });
});

describe('leases under random faults', () => {
  const seeds = Array.from({length: 12}, (_, index) => index + 1);

  it.each(seeds)('never overlap, and numbers grow (seed %i)', async seed => {
    const random = seededRandom(seed);
    const {log, contenders} = openFleet(4);
    for (const {process} of contenders) {
      process.losesResponse = () => random() < 0.2;
    }
    for (let round = 0; round < 60; round++) {
      log.down = random() < 0.1;
      log.hiddenCount = random() < 0.2 ? Math.floor(random() * 4) : 0;
      for (const {process} of contenders) disturb(process, random);
      await fleet.advance(1_000 + Math.floor(random() * 15_000));
    }
    expect(fleet.overlaps).toEqual([]);
    expect(fleet.fencing).toEqual([...fleet.fencing].sort((a, b) => a - b));
    expect(fleet.fencing.length).toBeGreaterThan(3);
  });

  function disturb(process: PausableProcess, random: Random): void {
    if (random() < 0.3) process.pause();
    else process.resume();
  }
});

describe('the register', () => {
  const grant = (holder: string, upTo: number): LeaseRecord => ({
    type: 'grant',
    id: holder,
    pool: 'pool',
    holder,
    termMs: TERM_MS,
    upTo,
  });

  const read = (records: LeaseRecord[], start = 0) => {
    const register = new LeaseTable(start, 0);
    records.slice(start).forEach((value, index) => {
      register.apply({offset: start + index, time: 0, value}, 0);
    });
    return register.lease('pool')?.holder;
  };

  it('lets the first of several grants win that saw the same state', () => {
    fleet = new Fleet();
    expect(read([grant('a', -1), grant('b', -1)])).toBe('a');
    expect(read([grant('a', -1), grant('b', 0)])).toBe('b');
  });

  it('refuses a grant whose writer missed a renewal', () => {
    fleet = new Fleet();
    const renewal: LeaseRecord = {
      type: 'renewal',
      id: 'r',
      holder: 'a',
      termMs: TERM_MS,
      leases: [{pool: 'pool', fencing: 0}],
    };
    expect(read([grant('a', -1), renewal, grant('b', 0)])).toBe('a');
    expect(read([grant('a', -1), renewal, grant('b', 0)], 2)).toBeUndefined();
  });
});
