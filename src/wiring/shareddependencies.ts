import {Agent} from 'undici';
import type {Logger} from 'pino';
import type {Settings} from '../instance/index.js';
import {HttpLog, TrafficMeter, meteredConnector} from '../platform/index.js';
import type {Timer} from '../timer/index.js';

/** Most connections to one origin of the platform. */
const MAX_PLATFORM_CONNECTIONS = 8;

/** Dependencies that the components of an instance share. */
export interface SharedDependencies {
  settings: Settings;
  /** Root logger; each component derives its own with [[componentLogger]]. */
  root: Logger;
  timer: Timer;
  /** Returns a random number in [0, 1). */
  random: () => number;
  /** HTTP connection pool for requests to the platform. */
  agent: Agent;
  /** Counts the bytes sent to and received from the platform. */
  meter: TrafficMeter;
  /** Client of the platform's durable log. */
  log: HttpLog;
}

/** Creates the shared dependencies; connections are opened when used. */
export function openSharedDependencies(
  settings: Settings,
  root: Logger,
  timer: Timer,
): SharedDependencies {
  const meter = new TrafficMeter();
  const agent = new Agent({
    connections: MAX_PLATFORM_CONNECTIONS,
    connect: meteredConnector(meter),
    localAddress: settings.host,
  });
  const log = new HttpLog(settings.logUrl, agent);
  return {settings, root, timer, random: Math.random, agent, meter, log};
}
