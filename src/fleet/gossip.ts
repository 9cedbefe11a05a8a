import {LogEvent} from '../telemetry/logevent.js';
import type {Logger} from 'pino';
import type {DatagramPort} from '../instance/datagram.js';
import type {KeyedRecord} from '../registry/index.js';
import type {Subscription, Timer} from '../timer/index.js';
import {PeerLoads} from './loads.js';
import {
  GOSSIP_METHOD,
  gossipMessageSchema,
  parseAddress,
  type InstanceAddress,
  type UpstreamLoad,
  type GossipMessage,
  type SentPrompt,
} from './message.js';

/** Shortest time between two regular messages to the peers, in ms. */
const MIN_INTERVAL_MS = 150;
/**
 * Shortest time between two regular messages for each peer that they go to,
 * in ms. Bounds the rate of datagrams in a large fleet.
 */
const INTERVAL_PER_PEER_MS = 10;
/** Time between two messages of an idle instance, in ms. */
const IDLE_INTERVAL_MS = 600;
/** Most prompts in one message; more would not fit into a datagram. */
const MAX_PROMPTS = 24;

/** Dependencies of [[Gossip]]. */
export interface GossipParts {
  /** Name of this instance. */
  name: string;
  datagrams: DatagramPort;
  timer: Timer;
  logger: Logger;
  /** Load from this instance on each upstream, without idle ones. */
  loads(): UpstreamLoad[];
  /** For each service, the most urgent tier with a long-waiting request. */
  waiting(): Array<[string, number]>;
  /** Records a prompt that another instance sent to an upstream. */
  recordPrompt(prompt: SentPrompt): void;
}

/**
 * Exchanges with the other instances the load that each puts on the upstreams
 * and the prompts it sends there. Placement then accounts for the load of the
 * whole fleet and for prompts that engines have cached. A lost or late message
 * makes placement less accurate and has no other effect.
 */
export class Gossip {
  /** Load that the other instances have reported. */
  readonly peerLoads = new PeerLoads();
  /** Addresses of the other instances, by name. */
  private readonly peerAddresses = new Map<string, InstanceAddress>();
  /** Prompts for the next message. */
  private prompts: SentPrompt[] = [];
  private sentAt = -Infinity;
  /** Whether the last message reported no load and no prompts. */
  private wasIdle = false;

  constructor(private readonly parts: GossipParts) {
    parts.datagrams.handle(GOSSIP_METHOD, params => this.receive(params));
  }

  /** Starts sending regular messages, until the subscription ends. */
  start(): Subscription {
    return this.parts.timer.every(MIN_INTERVAL_MS, () => this.sendIfDue());
  }

  /** Updates the peer addresses from the records that instances publish. */
  updateAddresses(records: KeyedRecord[]): void {
    const {name, logger} = this.parts;
    for (const {key, value, offset} of records) {
      if (key === name) continue;
      const address = value === undefined ? undefined : parseAddress(value);
      if (address === undefined) this.peerAddresses.delete(key);
      else this.peerAddresses.set(key, address);
      logger.info(
        {event: LogEvent.Peer, instance: key, offset, address},
        address === undefined
          ? 'Another instance no longer has a usable address.'
          : 'Another instance announced itself.',
      );
    }
  }

  /** Adds a prompt that was sent to an upstream to the next message. */
  addPrompt(prompt: SentPrompt): void {
    if (this.prompts.length < MAX_PROMPTS) this.prompts.push(prompt);
  }

  private sendIfDue(): void {
    const intervalMs = this.peerAddresses.size * INTERVAL_PER_PEER_MS;
    if (this.parts.timer.now() - this.sentAt >= intervalMs) this.send();
  }

  /**
   * Sends a message to every peer now, unless this instance is still idle and
   * said so less than [[IDLE_INTERVAL_MS]] ago.
   */
  send(): void {
    const {timer, datagrams, name} = this.parts;
    const now = timer.now();
    const message: GossipMessage = {
      from: name,
      loads: this.parts.loads(),
      readings: this.prompts,
      waiting: this.parts.waiting(),
    };
    const isIdle = message.loads.length === 0 && message.readings.length === 0;
    if (isIdle && this.wasIdle && now - this.sentAt < IDLE_INTERVAL_MS) return;
    this.wasIdle = isIdle;
    this.sentAt = now;
    this.prompts = [];
    for (const address of this.peerAddresses.values()) {
      datagrams.notify(address, GOSSIP_METHOD, message);
    }
  }

  private receive(params: unknown): void {
    const parsed = gossipMessageSchema.safeParse(params);
    if (!parsed.success) {
      this.parts.logger.warn(
        {event: LogEvent.Peer, problem: parsed.error.message},
        'Ignored a malformed gossip message.',
      );
      return;
    }
    this.peerLoads.update(parsed.data, this.parts.timer.now());
    for (const prompt of parsed.data.readings) this.parts.recordPrompt(prompt);
  }
}
