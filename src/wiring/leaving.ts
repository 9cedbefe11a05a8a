import type {Follower} from '../config/index.js';
import {
  connectLeavingUpstreams,
  markLeavingUpstreams,
} from '../instance/index.js';
import type {Subscription} from '../timer/index.js';
import {LeavingRegister, type Directory} from '../upstream/index.js';
import type {Base} from './base.js';
import type {Peers} from './peers.js';

/** Lets every source of notices mark upstreams that leave or return. */
export function openLeaving(
  {timer}: Base,
  {membership, server, discovery}: Peers,
  directory: Directory,
  follower: Follower,
): Subscription {
  const parts = {
    register: new LeavingRegister(timer),
    directory,
    membership,
    server,
    timer,
    ...(discovery === undefined ? {} : {discovery}),
  };
  const looking = connectLeavingUpstreams(parts);
  follower.subscribe(({document}) => {
    directory.apply(document);
    parts.register.configure(document);
    markLeavingUpstreams(parts);
  });
  return looking;
}
