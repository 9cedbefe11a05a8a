import {ConfigurationFollower, CheckpointWriter} from '../config/index.js';
import {Passing} from '../instance/index.js';
import {logOf, Part} from '../telemetry/index.js';
import type {Base} from './base.js';
import type {Peers} from './peers.js';

/** The parts that keep the configuration in force. */
export interface Configuring {
  follower: ConfigurationFollower;
  start(): void;
  stop(): Promise<void>;
}

/** Constructs what follows and renews the configuration. */
export function openConfiguring(base: Base, peers: Peers): Configuring {
  const {log, timer, random, settings} = base;
  const {membership} = peers;
  const logger = logOf(base.root, Part.Config);
  const passing = new Passing(membership, peers.client, random);
  const follower = new ConfigurationFollower(
    log,
    timer,
    logger,
    passing,
    random,
  );
  passing.serve(peers.server, follower);
  const renewal = new CheckpointWriter({
    log,
    follower,
    peers: passing,
    timer,
    logger,
    retentionMs: settings.logRetentionMs,
  });
  follower.subscribe(({version}) =>
    membership.report({configurationVersion: version}),
  );
  membership.subscribeVersion(version => {
    void follower.catchUpTo(version);
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
