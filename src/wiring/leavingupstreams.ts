import type {ConfigurationFollower} from '../config/index.js';
import {
  connectLeavingUpstreams,
  markLeavingUpstreams,
} from '../instance/index.js';
import type {Subscription} from '../timer/index.js';
import {LeavingRegister, type Directory} from '../upstream/index.js';
import type {SharedDependencies} from './shareddependencies.js';
import type {PeerNetwork} from './peernetwork.js';

/**
 * Marks the upstreams in the directory that are leaving, as discovery, their
 * load reports, operators' commands and peers tell. Ending the returned
 * subscription stops the periodic checks of load reports.
 */
export function trackLeavingUpstreams(
  {timer}: SharedDependencies,
  {membership, server, discovery}: PeerNetwork,
  directory: Directory,
  follower: ConfigurationFollower,
): Subscription {
  const parts = {
    register: new LeavingRegister(timer),
    directory,
    membership,
    server,
    timer,
    ...(discovery === undefined ? {} : {discovery}),
  };
  const subscription = connectLeavingUpstreams(parts);
  follower.subscribe(({document}) => {
    directory.apply(document);
    parts.register.applyConfiguration(document);
    markLeavingUpstreams(parts);
  });
  return subscription;
}
