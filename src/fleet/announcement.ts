import type {Logger} from 'pino';
import {Topic, type Feed} from '../registry/index.js';
import {LogEvent} from '../telemetry/logevent.js';
import type {Timer} from '../timer/index.js';
import type {InstanceAddress} from './message.js';

/**
 * Pause between attempts to announce, in ms; below the age at which the
 * messages of a silent peer are ignored.
 */
const RETRY_DELAY_MS = 1_000;

/** Dependencies of [[announce]]. */
export interface AnnouncementParts {
  /** Name of this instance. */
  name: string;
  /** Host and zone that are published with the port. */
  address: Omit<InstanceAddress, 'port'>;
  /** Opens the port for peers; undefined if that fails, as when it is in use. */
  openPort(): Promise<number | undefined>;
  feed: Feed;
  timer: Timer;
  logger: Logger;
  /** Whether this instance is shutting down, which ends the attempts. */
  isLeaving(): boolean;
}

/**
 * Opens the port for peers and publishes its address to the other instances.
 * Retries until both succeed, as a previous process may still hold the port
 * and the store may be unreachable.
 */
export async function announce(parts: AnnouncementParts): Promise<void> {
  const {name, address, feed, timer, logger} = parts;
  let port: number | undefined;
  while (!parts.isLeaving()) {
    port ??= await parts.openPort();
    if (port === undefined) {
      logger.warn(
        {event: LogEvent.Peer, address},
        'The port for peers is taken; running without peers until it is free.',
      );
    } else {
      const record = Buffer.from(JSON.stringify({...address, port}));
      const written = await feed.put(Topic.Instances, name, record);
      if (written.isOk()) return;
      logger.warn(
        {event: LogEvent.Peer, failure: written.error},
        'Could not announce this instance; will retry.',
      );
    }
    await timer.sleep(RETRY_DELAY_MS);
  }
}
