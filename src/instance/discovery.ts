import type {Logger} from 'pino';
import type {InstanceList, ListedInstance} from '../platform/index.js';
import type {Timer} from '../timer/index.js';
import type {Membership} from './member.js';
import {parsePeerAddress} from './peerrpc.js';
import type {Synchronizer} from './synchronizer.js';

/** Time between two reads of the list by the whole fleet, in ms. */
const FLEET_PERIOD_MS = 3_000;
/** Shortest time between two reads of one instance, in ms. */
const PERIOD_FLOOR_MS = 6_000;
const FAILURE_FACTOR = 4;

/** What a [[Discovery]] works with. */
export interface DiscoveryParts {
  list: InstanceList;
  membership: Membership;
  synchronizer: Synchronizer;
  timer: Timer;
  logger: Logger;
  random: () => number;
}

/**
 * Reads the platform's lagging list. Instances on it are only addresses to
 * try: a stale list neither revives nor evicts a member. The fleet shares the
 * reads, as each instance reads more seldom the more there are.
 */
export class Discovery {
  private readonly stopping = new AbortController();
  private readonly listeners = new Set<
    (listed: readonly ListedInstance[]) => void
  >();
  private task?: Promise<void>;

  constructor(private readonly parts: DiscoveryParts) {}

  /** Subscribes to the list as it is read. */
  subscribe(listener: (listed: readonly ListedInstance[]) => void): void {
    this.listeners.add(listener);
  }

  start(): void {
    this.task ??= this.run();
  }

  async stop(): Promise<void> {
    this.stopping.abort();
    await this.task;
  }

  private async run(): Promise<void> {
    const {timer, random, membership} = this.parts;
    const {signal} = this.stopping;
    while (!signal.aborted) {
      const reached = await this.read();
      const share = FLEET_PERIOD_MS * membership.live().length;
      const period = Math.max(PERIOD_FLOOR_MS, share);
      const factor = (reached ? 1 : FAILURE_FACTOR) * (0.5 + random());
      await timer.sleep(period * factor, signal);
    }
  }

  private async read(): Promise<boolean> {
    const listed = await this.parts.list.read();
    if (listed.isErr()) {
      this.parts.logger.warn({failure: listed.error}, 'List not readable.');
      return false;
    }
    const addresses = listed.value
      .filter(({kind, state}) => kind === 'instance' && state === 'live')
      .map(({address}) => parsePeerAddress(address));
    this.parts.synchronizer.setListedAddresses(addresses);
    for (const listener of this.listeners) listener(listed.value);
    return true;
  }
}
