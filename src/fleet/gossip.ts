import {LogEvent} from '../telemetry/event.js';
import type {Logger} from 'pino';
import type {DatagramPort} from '../instance/datagram.js';
import type {KeyedRecord} from '../registry/index.js';
import type {Subscription, Timer} from '../timer/index.js';
import {FleetLoads} from './loads.js';
import {
  NEWS_METHOD,
  newsSchema,
  parseAddress,
  type FleetAddress,
  type LoadNews,
  type News,
  type ReadingNews,
} from './message.js';

/** Shortest time between two messages to the fleet, in ms. */
const PERIOD_MS = 150;
/** Share of the period for each instance; keeps the rate of datagrams bounded. */
const PERIOD_PER_INSTANCE_MS = 10;
/** Time after which an idle instance says so again, in ms. */
const REPEAT_MS = 600;
/** Readings in one message; more than fit into a datagram are left out. */
const READINGS_LIMIT = 24;

/** What a [[Gossip]] needs of the rest of the instance. */
export interface GossipParts {
  name: string;
  datagrams: DatagramPort;
  timer: Timer;
  logger: Logger;
  /** The load this instance has put on upstreams that have any. */
  loads(): LoadNews[];
  /** Service and tier of the most urgent request that has waited for long. */
  waiting(): Array<[string, number]>;
  /** Takes in a prompt that another instance sent to an upstream. */
  learn(reading: ReadingNews): void;
}

/**
 * Tells the other instances what this one sends where, so that all of them
 * weigh the whole load and know which prompts an engine has read. News that are
 * lost or late cost accuracy, nothing else.
 */
export class Gossip {
  readonly others = new FleetLoads();
  private readonly addresses = new Map<string, FleetAddress>();
  private readings: ReadingNews[] = [];
  private sentAt = -Infinity;
  private wasIdle = false;

  constructor(private readonly parts: GossipParts) {
    parts.datagrams.handle(NEWS_METHOD, params => this.receive(params));
  }

  start(): Subscription {
    return this.parts.timer.every(PERIOD_MS, () => this.tellRegularly());
  }

  /** Takes in the records by which instances announce themselves. */
  follow(records: KeyedRecord[]): void {
    const {name, logger} = this.parts;
    for (const {key, value, offset} of records) {
      if (key === name) continue;
      const address = value === undefined ? undefined : parseAddress(value);
      if (address === undefined) this.addresses.delete(key);
      else this.addresses.set(key, address);
      logger.info(
        {event: LogEvent.Peer, instance: key, offset, address},
        address === undefined
          ? 'Another instance has no usable address any more.'
          : 'Another instance announced itself.',
      );
    }
  }

  /** Notes a prompt that was sent to an upstream. */
  note(reading: ReadingNews): void {
    if (this.readings.length < READINGS_LIMIT) this.readings.push(reading);
  }

  private tellRegularly(): void {
    const periodMs = this.addresses.size * PERIOD_PER_INSTANCE_MS;
    if (this.parts.timer.now() - this.sentAt >= periodMs) this.tell();
  }

  /** Tells the others now. */
  tell(): void {
    const {timer, datagrams, name} = this.parts;
    const now = timer.now();
    const news: News = {
      from: name,
      loads: this.parts.loads(),
      readings: this.readings,
      waiting: this.parts.waiting(),
    };
    const isIdle = news.loads.length === 0 && news.readings.length === 0;
    if (isIdle && this.wasIdle && now - this.sentAt < REPEAT_MS) return;
    this.wasIdle = isIdle;
    this.sentAt = now;
    this.readings = [];
    for (const address of this.addresses.values()) {
      datagrams.notify(address, NEWS_METHOD, news);
    }
  }

  private receive(params: unknown): void {
    const parsed = newsSchema.safeParse(params);
    if (!parsed.success) {
      this.parts.logger.warn(
        {event: LogEvent.Peer, problem: parsed.error.message},
        'Ignored news that can not be read.',
      );
      return;
    }
    this.others.take(parsed.data, this.parts.timer.now());
    for (const reading of parsed.data.readings) this.parts.learn(reading);
  }
}
