import {Follower, Renewal} from '../config/index.js';
import {ConfigurationExchange} from '../instance/index.js';
import {logOf, Part} from '../telemetry/index.js';
import type {Base} from './base.js';
import type {Peers} from './peers.js';

/** The parts that keep the configuration in force. */
export interface Configuring {
  follower: Follower;
  start(): void;
  stop(): Promise<void>;
}

/** Constructs what follows and renews the configuration. */
export function openConfiguring(base: Base, peers: Peers): Configuring {
  const {log, timer, random, settings} = base;
  const {membership} = peers;
  const logger = logOf(base.root, Part.Config);
  const passing = new ConfigurationExchange(membership, peers.client, random);
  const follower = new Follower(log, timer, logger, passing, random);
  passing.serve(peers.server, follower);
  const renewal = new Renewal({
    log,
    follower,
    peers: passing,
    timer,
    logger,
    retentionMs: settings.logRetentionMs,
  });
  follower.subscribe(({version}) =>
    membership.updateStatus({configurationVersion: version}),
  );
  membership.subscribeVersion(version => {
    void follower.wake(version);
  });
  return {
    follower,
    start: () => {
      follower.start();
      renewal.start();
    },
    stop: async () => {
      await renewal.stop();
      await follower.stop();
    },
  };
}
