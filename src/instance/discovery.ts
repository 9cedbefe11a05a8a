import type {Logger} from 'pino';
import type {InstanceList, ListedInstance} from '../platform/index.js';
import type {Timer} from '../timer/index.js';
import type {Membership} from './member.js';
import {parsePeerAddress} from './peerrpc.js';
import type {Synchronizer} from './synchronizer.js';

/** Mean time between two reads of the list by any instance, in ms. */
const FLEET_READ_PERIOD_MS = 3_000;
/** Shortest mean time between two reads by one instance, in ms. */
const MIN_READ_PERIOD_MS = 6_000;
/** Factor of the time to the next read after a failed one. */
const FAILURE_BACKOFF_FACTOR = 4;

/** Dependencies of [[Discovery]]. */
export interface DiscoveryParts {
  list: InstanceList;
  membership: Membership;
  synchronizer: Synchronizer;
  timer: Timer;
  logger: Logger;
  /** Source of randomness in [0, 1). */
  random: () => number;
}

/**
 * Polls the platform's list of instances, which lags behind. The list only
 * gives addresses to join, so a stale one neither revives nor removes a member.
 * The polling period grows with the fleet, so that the rate of reads by all
 * instances together is bounded.
 */
export class Discovery {
  private readonly stopping = new AbortController();
  private readonly listeners = new Set<
    (listed: readonly ListedInstance[]) => void
  >();
  private task?: Promise<void>;

  constructor(private readonly parts: DiscoveryParts) {}

  /** Subscribes to the list; listeners get it after every read. */
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
      const succeeded = await this.read();
      const sharedPeriodMs = FLEET_READ_PERIOD_MS * membership.live().length;
      const periodMs = Math.max(MIN_READ_PERIOD_MS, sharedPeriodMs);
      const periodFactor =
        (succeeded ? 1 : FAILURE_BACKOFF_FACTOR) * (0.5 + random());
      await timer.sleep(periodMs * periodFactor, signal);
    }
  }

  private async read(): Promise<boolean> {
    const listed = await this.parts.list.read();
    if (listed.isErr()) {
      this.parts.logger.warn(
        {failure: listed.error},
        'Reading the instance list failed.',
      );
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
