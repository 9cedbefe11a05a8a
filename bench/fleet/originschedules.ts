import {err, ok} from 'neverthrow';
import {pino} from 'pino';
import {Peers} from '../../src/fleet/index.js';
import {
  isVersionRecord,
  OriginExchange,
  SoftwareVersions,
  VersionRecords,
  type StreamOrigin,
} from '../../src/origin/index.js';
import {StoreEpoch, type KeyedRecord} from '../../src/registry/index.js';
import {ManualTimer} from '../../src/timer/index.js';
import {watchStalls} from '../../src/wiring/stall.js';
import {Random} from '../random.js';
import {InstanceTimer} from './instancetimer.js';
import {placeOf} from './places.js';
import {SimulatedNetwork, type Place} from './simulatednetwork.js';

const SERVICE = 'engines';
const UPSTREAMS = 4;
const READ_PERIOD_MS = 500;
const ENTRIES_AGE_MS = 1_000;
const STREAM_PERIOD_MS = 100;
const TAKE_UP_PERIOD_MS = 150;
const STREAM_LIFE_MS = 22_000;
/** Age of the streams that are taken up, in ms: callers notice a gap first. */
const TAKE_UP_AGE_MS = {least: 1_500, most: 12_000};
const EVENT_GAP_MS = {least: 500, most: 4_000};
const silent = pino({level: 'silent'});

/** What happens to the fleet, the store or the upstreams. */
export enum OriginFault {
  KillAll = 'all instances lose power',
  KillOne = 'one instance loses power',
  Stall = 'some instances stand still',
  Refuse = 'the store refuses writes',
  Lose = 'the store loses what the instances wrote',
}

/** What a schedule does. */
export interface OriginScheduleSpec {
  instances: number;
  seed: number;
  seconds: number;
  faults: readonly OriginFault[];
}

/** Result of a schedule. */
export interface OriginScheduleFigures {
  takenUp: number;
  wentOn: number;
  /** Streams that may have gone on at another version than their own. */
  wrong: number;
}

interface Stream {
  key: string;
  version: string;
  begunAt: number;
}

/**
 * Plays releases, faults and streams that are taken up, at random, and counts the
 * streams that would go on at another software version than the one that began
 * them. Virtual time; the instances' decisions are the real ones.
 */
export async function runOriginSchedule(
  spec: OriginScheduleSpec,
): Promise<OriginScheduleFigures> {
  const schedule = new Schedule(spec);
  await schedule.play();
  return schedule.figures;
}

/** The platform's store, as far as instances keep software versions in it. */
class RecordStore {
  readonly records: KeyedRecord[] = [];
  refuses = false;

  newest(): KeyedRecord[] {
    const newest = new Map(this.records.map(record => [record.key, record]));
    return [...newest.values()].filter(({value}) => value !== undefined);
  }

  put(key: string, value: Buffer | undefined): void {
    const offset = this.records.length;
    this.records.push(value ? {key, value, offset} : {key, offset});
  }

  lose(): void {
    for (const {key} of this.newest()) this.put(key, undefined);
  }
}

/** An instance; a new one takes its place when it starts again. */
class Node {
  readonly timer: InstanceTimer;
  readonly peers: Peers;
  readonly origins: OriginExchange;
  /** Versions of the upstreams as it has read them. */
  seen: string[] = [];
  isAlive = true;
  private readonly records: VersionRecords;
  private readAt = -Infinity;
  private mustRead = true;
  private readTo = 0;

  constructor(
    readonly place: Place,
    isFirstStart: boolean,
    private readonly world: Schedule,
  ) {
    const {base, network, random, store} = world;
    const {name, zone} = place;
    const timer = new InstanceTimer(base);
    this.timer = timer;
    this.peers = new Peers(name, zone, silent, random.next);
    const versions = new SoftwareVersions(timer, isFirstStart);
    this.records = new VersionRecords({
      versions,
      epochs: new StoreEpoch(silent, timer),
      timer,
      logger: silent,
      random: random.next,
      rank: () => Number(name.split('-')[1]),
      isKnown: () => this.readTo > 0 || this.readAt > -Infinity,
      feed: {
        put: (_topic, key, value) => {
          if (store.refuses) {
            return Promise.resolve(err({type: 'refused', status: 503}));
          }
          store.put(key, value);
          return Promise.resolve(ok({epoch: 0}));
        },
      },
    });
    this.origins = new OriginExchange({
      name,
      zone,
      peers: this.peers,
      datagrams: network.connect(place, timer).datagrams,
      timer,
      versions,
      areCurrent: () => timer.now() - this.readAt <= ENTRIES_AGE_MS,
      hasReadSince: at => !this.mustRead && this.readAt >= at,
    });
    this.records.start();
    watchStalls(timer, silent, {
      checked: () => undefined,
      resumed: () => {
        this.mustRead = true;
        this.origins.noteStall();
        this.read();
      },
    });
    timer.after(random.between(20, 200), () => {
      this.records.replace(store.newest().filter(isVersionRecord));
      this.readTo = store.records.length;
      this.read();
      timer.every(READ_PERIOD_MS, () => this.read());
    });
  }

  /** Whether callers can reach it. */
  get serves(): boolean {
    return this.isAlive && !this.timer.isSuspended && this.seen.length > 0;
  }

  kill(): void {
    this.isAlive = false;
    this.timer.kill();
  }

  private read(): void {
    const {store, registered} = this.world;
    this.seen = [...registered.values()];
    this.origins.applyUpstreams(
      this.seen.map(softwareVersion => ({service: SERVICE, softwareVersion})),
    );
    const news = store.records.slice(this.readTo);
    this.readTo = store.records.length;
    if (news.some(({value}) => value === undefined)) {
      this.records.replace(store.newest());
    } else if (news.length > 0) this.records.add(news);
    this.records.check();
    this.readAt = this.timer.now();
    this.mustRead = false;
  }
}

class Schedule {
  readonly base = new ManualTimer();
  readonly random: Random;
  readonly network: SimulatedNetwork;
  readonly store = new RecordStore();
  /** Version of each upstream that is registered. */
  readonly registered = new Map<number, string>();
  readonly figures = {takenUp: 0, wentOn: 0, wrong: 0};
  private readonly nodes: Node[];
  private readonly streams: Stream[] = [];
  private release = 1;
  private isReleasing = false;

  constructor(private readonly spec: OriginScheduleSpec) {
    this.random = new Random(spec.seed);
    this.network = new SimulatedNetwork(
      this.base,
      this.random.next,
      // What arrives at a machine that stands still may find no place to wait.
      (_from, to) => this.isSuspended(to) && this.random.next() < 0.5,
    );
    for (let id = 0; id < UPSTREAMS; id++) this.registered.set(id, 'v1');
    this.nodes = Array.from(
      {length: spec.instances},
      (_, index) => new Node(placeOf(index), true, this),
    );
    this.introduce();
  }

  async play(): Promise<void> {
    const {base, spec} = this;
    base.every(STREAM_PERIOD_MS, () => this.begin());
    base.every(TAKE_UP_PERIOD_MS, () => void this.takeUp());
    this.scheduleEvent();
    for (let ms = 0; ms < spec.seconds * 1_000; ms += 10) {
      await base.advance(10);
    }
  }

  private isSuspended({name}: Place): boolean {
    return this.nodes.some(
      ({place, timer}) => place.name === name && timer.isSuspended,
    );
  }

  /** Tells each instance the addresses of all others. */
  private introduce(): void {
    const records = this.nodes.map(({place: {name, zone}}, offset) => ({
      key: name,
      offset,
      value: Buffer.from(JSON.stringify({host: name, port: 1, zone})),
    }));
    for (const {peers} of this.nodes) peers.update(records);
  }

  private begin(): void {
    const node = this.pickServing();
    if (node === undefined) return;
    const {key, version} = {
      key: `stream-${this.streams.length}`,
      version: this.random.pick(node.seen),
    };
    this.note(node, key, {service: SERVICE, softwareVersion: version});
    this.streams.push({key, version, begunAt: this.base.now()});
  }

  private note(node: Node, key: string, origin: StreamOrigin): void {
    const expiresAt = node.timer.now() + STREAM_LIFE_MS;
    node.origins.note({key, origin, expiresAt});
  }

  private async takeUp(): Promise<void> {
    const now = this.base.now();
    const streams = this.streams.filter(({begunAt}) => {
      const ageMs = now - begunAt;
      return ageMs >= TAKE_UP_AGE_MS.least && ageMs <= TAKE_UP_AGE_MS.most;
    });
    const node = this.pickServing();
    if (streams.length === 0 || node === undefined) return;
    const {key, version} = this.random.pick(streams);
    const {lookup} = await node.origins.find(key, [SERVICE]);
    if (!node.serves) return;
    this.figures.takenUp++;
    switch (lookup.type) {
      case 'unknown':
        return;
      case 'any':
        if (node.seen.some(one => one !== version)) this.figures.wrong++;
        else this.figures.wentOn++;
        return;
      case 'known':
        if (lookup.origin.softwareVersion !== version) this.figures.wrong++;
        else this.figures.wentOn++;
    }
  }

  private pickServing(): Node | undefined {
    const serving = this.nodes.filter(({serves}) => serves);
    return serving.length === 0 ? undefined : this.random.pick(serving);
  }

  private scheduleEvent(): void {
    const {least, most} = EVENT_GAP_MS;
    this.base.after(this.random.between(least, most), () => {
      const {faults} = this.spec;
      if (faults.length === 0 || this.random.next() < 0.3) this.replace();
      else this.inject(this.random.pick(faults));
      this.scheduleEvent();
    });
  }

  /** Replaces all upstreams by those of the next version, one after the other. */
  private replace(): void {
    if (this.isReleasing) return;
    this.isReleasing = true;
    const version = `v${++this.release}`;
    const gapMs = this.random.between(100, 1_500);
    const step = (id: number) => {
      if (id === UPSTREAMS) {
        this.isReleasing = false;
        return;
      }
      this.registered.set(id, version);
      this.base.after(gapMs, () => step(id + 1));
    };
    step(0);
  }

  private inject(fault: OriginFault): void {
    const {random, store, nodes} = this;
    switch (fault) {
      case OriginFault.KillAll: {
        const downMs = random.between(500, 3_000);
        for (const index of nodes.keys()) this.restart(index, downMs);
        return;
      }
      case OriginFault.KillOne:
        this.restart(
          Math.floor(random.next() * nodes.length),
          random.between(500, 5_000),
        );
        return;
      case OriginFault.Stall: {
        const ms = random.between(1_200, 4_000);
        for (const {timer, isAlive} of nodes) {
          if (!isAlive || random.next() < 0.3) continue;
          timer.suspend();
          this.base.after(ms, () => timer.resume());
        }
        return;
      }
      case OriginFault.Refuse:
        store.refuses = true;
        this.base.after(random.between(1_000, 20_000), () => {
          store.refuses = false;
        });
        return;
      case OriginFault.Lose:
        store.lose();
    }
  }

  private restart(index: number, downMs: number): void {
    const node = this.nodes[index];
    if (node?.isAlive !== true) return;
    node.kill();
    this.base.after(downMs, () => {
      this.nodes[index] = new Node(node.place, false, this);
      this.introduce();
    });
  }
}
