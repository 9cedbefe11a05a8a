import {Agent} from 'undici';
import type {Logger} from 'pino';
import type {Settings} from '../instance/index.js';
import {HttpLog, TrafficMeter, meteredConnector} from '../platform/index.js';
import type {Timer} from '../timer/index.js';

const PLATFORM_CONNECTIONS = 8;

/** What every part is constructed with. */
export interface SharedDependencies {
  settings: Settings;
  root: Logger;
  timer: Timer;
  random: () => number;
  /** Connections to the platform. */
  agent: Agent;
  /** Counts the bytes of those connections. */
  meter: TrafficMeter;
  log: HttpLog;
}

/** Opens the connections to the platform. */
export function openSharedDependencies(
  settings: Settings,
  root: Logger,
  timer: Timer,
): SharedDependencies {
  const meter = new TrafficMeter();
  const agent = new Agent({
    connections: PLATFORM_CONNECTIONS,
    connect: meteredConnector(meter),
    localAddress: settings.host,
  });
  const log = new HttpLog(settings.logUrl, agent);
  return {settings, root, timer, random: Math.random, agent, meter, log};
}
