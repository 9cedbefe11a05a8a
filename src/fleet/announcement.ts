import type {Logger} from 'pino';
import {Topic, type Feed, type StoreEpoch} from '../registry/index.js';
import {LogEvent} from '../telemetry/logevent.js';
import type {Timer} from '../timer/index.js';
import type {InstanceAddress} from './message.js';

/**
 * Pause between attempts to announce, in ms; below the age at which the
 * messages of a silent peer are ignored.
 */
const RETRY_DELAY_MS = 1_000;

/**
 * Shortest time from the start of a store epoch until the address is published
 * in it, and the time over which the instances spread further, in ms. Together
 * two seconds, in which the upstreams register themselves again as well.
 */
const REPEAT_DELAY_MS = 250;
const REPEAT_SPREAD_MS = 1_500;

/** Dependencies of [[announce]]. */
export interface AnnouncementParts {
  /** Name of this instance. */
  name: string;
  /** Host and zone that are published with the port. */
  address: Omit<InstanceAddress, 'port'>;
  /** Opens the port for peers; undefined if that fails, as when it is in use. */
  openPort(): Promise<number | undefined>;
  feed: Feed;
  epochs: StoreEpoch;
  timer: Timer;
  logger: Logger;
  /** Returns a random number in [0, 1). */
  random: () => number;
  /** Whether this instance is shutting down, which ends the attempts. */
  isLeaving(): boolean;
}

/**
 * Opens the port for peers and publishes its address to the other instances.
 * Retries until both succeed, as a previous process may still hold the port
 * and the store may be unreachable. Publishes it again in each new epoch of the
 * store, which may have lost the record.
 */
export async function announce(parts: AnnouncementParts): Promise<void> {
  const {name, address, feed, epochs, timer, logger} = parts;
  let port: number | undefined;
  /** Epoch in which the store has the record. */
  let publishedIn = -1;
  while (!parts.isLeaving()) {
    if (publishedIn >= epochs.current) {
      await epochs.nextRise();
      const spreadMs = parts.random() * REPEAT_SPREAD_MS;
      await timer.sleep(REPEAT_DELAY_MS + spreadMs);
      continue;
    }
    port ??= await parts.openPort();
    if (port === undefined) {
      logger.warn(
        {event: LogEvent.Peer, address},
        'The port for peers is taken; running without peers until it is free.',
      );
    } else {
      const record = Buffer.from(JSON.stringify({...address, port}));
      const written = epochs.observe(
        await feed.put(Topic.Instances, name, record),
      );
      if (written.isOk()) {
        publishedIn = written.value.epoch;
        continue;
      }
      logger.warn(
        {event: LogEvent.Peer, failure: written.error},
        'Could not announce this instance; will retry.',
      );
    }
    await timer.sleep(RETRY_DELAY_MS);
  }
}
