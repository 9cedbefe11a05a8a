import {Agent} from 'undici';
import type {Logger} from 'pino';
import {Follower} from './config/index.js';
import {Entrance, type Settings} from './instance/index.js';
import {HttpLog} from './platform/index.js';
import {RoundRobin} from './request/index.js';
import {logOf, Part} from './telemetry/index.js';
import {SystemTimer, type Timer} from './timer/index.js';
import {Directory} from './upstream/index.js';

const PLATFORM_CONNECTIONS = 8;

/** A running instance. */
export interface Router {
  /** Port callers reach the instance at. */
  port: number;
  /** Drains: resolves when every request in flight has ended. */
  stop(): Promise<void>;
}

/**
 * Constructs every part of an instance, connects them, and starts it. The only
 * module that knows all parts.
 */
export async function startRouter(
  settings: Settings,
  root: Logger,
  timer: Timer = new SystemTimer(),
): Promise<Router> {
  const platform = new Agent({connections: PLATFORM_CONNECTIONS});
  const log = new HttpLog(settings.logUrl, platform);
  const directory = new Directory();
  const follower = new Follower(log, timer, logOf(root, Part.Config));
  follower.subscribe(({document}) => directory.apply(document));
  const scheduler = new RoundRobin(directory);
  const entrance = new Entrance({
    follower,
    scheduler,
    timer,
    logger: logOf(root, Part.Request),
  });
  follower.start();
  const port = await entrance.listen(settings.host, settings.port);
  logOf(root, Part.Router).info({port}, 'Listening for callers.');
  return {
    port,
    stop: async () => {
      await entrance.drain();
      await follower.stop();
      await directory.close();
      await platform.close();
    },
  };
}
