import {NO_LIMITS, NO_NOTICES} from '../../bench/fleet/unlimited.js';
import {err, ok, type Result} from 'neverthrow';
import {pino} from 'pino';
import {Random} from '../../bench/random.js';
import {InstanceTimer} from '../../bench/fleet/instancetimer.js';
import {SimulatedNetwork} from '../../bench/fleet/simulatednetwork.js';
import {
  EntryState,
  Registry,
  Topic,
  type Feed,
  type FeedFailure,
  type FeedPage,
  type KeyedRecord,
  type RegistryEntry,
} from '../../src/registry/index.js';
import {ManualTimer} from '../../src/timer/index.js';
import {GatewayFleet} from '../../src/wiring/gatewayfleet.js';

const logger = pino({level: 'silent'});
const RESPONSE_MS = 4;
const POLL_MS = 20;

/** A store that can go away and return from an older copy. */
export class ReturningStore {
  epoch = 1;
  isAway = false;
  /** Instances that get no answer. */
  readonly cut = new Set<string>();
  readonly calls: string[] = [];
  records: Record<Topic, KeyedRecord[]> = {
    [Topic.Configuration]: [],
    [Topic.Upstreams]: [],
    [Topic.Instances]: [],
  };

  constructor(private readonly timer: ManualTimer) {}

  append(topic: Topic, key: string, value?: Buffer): void {
    const offset = this.records[topic].length;
    const record = value === undefined ? {key} : {key, value};
    this.records[topic].push({...record, offset});
  }

  configure(version: number): void {
    this.append(Topic.Configuration, 'config', Buffer.from(String(version)));
  }

  /** Writes the entry of an upstream that started at 100. */
  register(id: string, sequence: number, state = EntryState.Ready): void {
    const entry: RegistryEntry = {
      id,
      service: 's',
      host: 'h',
      port: 1,
      zone: 'z',
      softwareVersion: 'v1',
      slots: 4,
      state,
      coldMs: 0,
      startedAt: 100,
      sequence,
    };
    this.append(Topic.Upstreams, id, Buffer.from(JSON.stringify(entry)));
  }

  /** A copy of all records. */
  copy(): Record<Topic, KeyedRecord[]> {
    return structuredClone(this.records);
  }

  /** Returns from a copy, in a new epoch. */
  returnTo(copy: Record<Topic, KeyedRecord[]>): void {
    this.records = structuredClone(copy);
    for (const records of Object.values(this.records)) {
      for (const record of records) {
        if (record.value) record.value = Buffer.from(record.value);
      }
    }
    this.epoch++;
    this.isAway = false;
  }

  feedOf(instance: string): Feed {
    return {
      snapshot: topic =>
        this.serve(instance, `snapshot ${topic}`, () => {
          const newest = new Map(
            this.records[topic].map(record => [record.key, record]),
          );
          const records = [...newest.values()].filter(({value}) => value);
          return {records, end: this.records[topic].length};
        }),
      put: (topic, key, value) =>
        this.serve(instance, 'put', () => this.append(topic, key, value)),
      read: async (topic, from, waitMs) => {
        for (let waited = 0; waited < waitMs; waited += POLL_MS) {
          if (this.isAway || this.records[topic].length !== from) break;
          await this.timer.sleep(POLL_MS);
        }
        return this.serve(instance, `read ${topic}`, (): PageContent => {
          const records = this.records[topic].slice(from);
          const end = this.records[topic].length;
          if (from > end) return {type: 'expired', first: 0};
          return {type: 'records', records, end};
        });
      },
    };
  }

  private async serve<Value extends object>(
    instance: string,
    call: string,
    action: () => Value | void,
  ): Promise<Result<Value & {epoch: number}, FeedFailure>> {
    this.calls.push(`${instance} ${call}`);
    if (this.cut.has(instance)) {
      await this.timer.sleep(1_000);
      return err({type: 'timeout', limitMs: 1_000});
    }
    const {epoch} = this;
    const wasAway = this.isAway;
    const value = wasAway ? undefined : action();
    await this.timer.sleep(RESPONSE_MS);
    if (wasAway) return err({type: 'unreachable', cause: 'away'});
    return ok({...(value as Value), epoch});
  }
}

type WithoutEpoch<Value> = Value extends unknown ? Omit<Value, 'epoch'> : never;
type PageContent = WithoutEpoch<FeedPage>;

/** An instance that follows a [[ReturningStore]]. */
export interface FollowingInstance {
  fleet: GatewayFleet;
  /** Versions of the configuration that were in force. */
  versions: number[];
  /** Ids and states of the upstreams in use. */
  upstreams: () => string[];
  timer: InstanceTimer;
}

/** Instances of one zone that follow a store, in virtual time. */
export class FollowingFleet {
  readonly timer = new ManualTimer();
  readonly store = new ReturningStore(this.timer);
  readonly instances: FollowingInstance[] = [];
  /** Share of the messages between instances that are lost, 0 to 1. */
  loss = 0;
  private readonly random = new Random(7);
  private readonly network = new SimulatedNetwork(
    this.timer,
    this.random.next,
    () => this.random.next() < this.loss,
  );

  /** Starts one more instance. */
  start(): FollowingInstance {
    const name = `entry-${this.instances.length}`;
    const timer = new InstanceTimer(this.timer);
    const versions: number[] = [];
    let inForce: KeyedRecord[] = [];
    const configure = (records: KeyedRecord[]) => {
      for (const record of records) {
        const version = Number(record.value?.toString());
        if (version <= (versions.at(-1) ?? 0)) continue;
        versions.push(version);
        inForce = [record];
      }
      return records;
    };
    const registry: Registry = new Registry({
      decode: (_key, value) => JSON.parse(value.toString()) as RegistryEntry,
      timer,
      logger,
      reachableForMs: () => fleet.upstreams.reachableForMs(),
      servedForMs: () => fleet.upstreams.servedForMs(),
      changed: () => undefined,
    });
    const place = {name, zone: 'z', region: 'r'};
    const fleet: GatewayFleet = new GatewayFleet({
      linkBytesPerSecond: 125_000_000,
      instance: name,
      host: name,
      zone: 'z',
      feed: this.store.feedOf(name),
      transport: this.network.connect(place, timer),
      timer,
      random: this.random.next,
      output: {logger, dropped: () => 0},
      configurations: {
        replaced: configure,
        added: configure,
        known: () => inForce,
      },
      upstreams: {
        replaced: (records, outdated) => registry.replace(records, outdated),
        added: records => registry.add(records),
        known: () => registry.known(),
      },
      loads: () => [],
      waiting: () => [],
      notices: NO_NOTICES,
      permits: NO_LIMITS,
      recordPrompt: () => undefined,
      evidence: {
        learn: () => false,
        subscribe: () => undefined,
        holds: () => [],
      },
      isFirstStart: true,
      isLeaving: () => false,
    });
    fleet.start();
    timer.every(250, () => registry.sweep());
    const upstreams = () =>
      [...registry.usable()].map(({id, state}) => `${id} ${state}`).sort();
    const instance = {fleet, versions, upstreams, timer};
    this.instances.push(instance);
    return instance;
  }

  /** Starts several instances and lets them find each other. */
  async startAll(count: number): Promise<FollowingInstance[]> {
    const started = Array.from({length: count}, () => this.start());
    await this.advance(5_000);
    return started;
  }

  async advance(ms: number): Promise<void> {
    for (let done = 0; done < ms; done += POLL_MS) {
      await this.timer.advance(POLL_MS);
    }
  }
}
