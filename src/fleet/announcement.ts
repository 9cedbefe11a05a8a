import type {Logger} from 'pino';
import type {DatagramPort} from '../instance/datagram.js';
import {Topic, type Feed} from '../registry/index.js';
import {LogEvent} from '../telemetry/event.js';
import type {Timer} from '../timer/index.js';
import type {FleetAddress} from './message.js';

/** Pause after an announcement failed, in ms; below the age of old news. */
const RETRY_MS = 1_000;

/** What it takes to tell the fleet where an instance is reached. */
export interface AnnouncementParts {
  name: string;
  address: FleetAddress;
  datagrams: DatagramPort;
  feed: Feed;
  timer: Timer;
  logger: Logger;
  /** Whether the instance leaves, and needs no news any more. */
  leaving(): boolean;
}

/**
 * Opens the port for news and tells the fleet of it. Goes on trying until both
 * are done: a predecessor may still hold the port, and the store may be away.
 */
export async function announce(parts: AnnouncementParts): Promise<void> {
  const {name, address, datagrams, feed, timer, logger} = parts;
  let isBound = false;
  while (!parts.leaving()) {
    isBound ||= await datagrams.bind(address.host, address.port);
    if (!isBound) {
      logger.warn(
        {event: LogEvent.Peer, address},
        'The port for news is taken; going on alone for now.',
      );
    } else {
      const record = Buffer.from(JSON.stringify(address));
      const written = await feed.put(Topic.Instances, name, record);
      if (written.isOk()) return;
      logger.warn(
        {event: LogEvent.Peer, failure: written.error},
        'Could not announce this instance yet.',
      );
    }
    await timer.sleep(RETRY_MS);
  }
}
