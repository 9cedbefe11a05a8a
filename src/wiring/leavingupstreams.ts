import type {ConfigurationFollower} from '../config/index.js';
import {
  connectLeavingUpstreams,
  markLeavingUpstreams,
} from '../instance/index.js';
import type {Subscription} from '../timer/index.js';
import {LeavingRegister, type Directory} from '../upstream/index.js';
import type {SharedDependencies} from './shareddependencies.js';
import type {PeerNetwork} from './peernetwork.js';

/** Lets every source of notices mark upstreams that leave or return. */
export function trackLeavingUpstreams(
  {timer}: SharedDependencies,
  {membership, server, discovery}: PeerNetwork,
  directory: Directory,
  follower: ConfigurationFollower,
): Subscription {
  const parts = {
    register: new LeavingRegister(timer),
    directory,
    fleet: membership,
    server,
    timer,
    ...(discovery === undefined ? {} : {discovery}),
  };
  const looking = connectLeavingUpstreams(parts);
  follower.subscribe(({document}) => {
    directory.apply(document);
    parts.register.applyConfiguration(document);
    markLeavingUpstreams(parts);
  });
  return looking;
}
