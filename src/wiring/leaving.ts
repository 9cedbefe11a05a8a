import type {ConfigurationFollower} from '../config/index.js';
import {connectLeaving, markUpstreams} from '../instance/index.js';
import type {Subscription} from '../timer/index.js';
import {LeavingRegister, type Directory} from '../upstream/index.js';
import type {Base} from './base.js';
import type {Peers} from './peers.js';

/** Lets every source of notices mark upstreams that leave or return. */
export function openLeaving(
  {timer}: Base,
  {membership, server, discovery}: Peers,
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
  const looking = connectLeaving(parts);
  follower.subscribe(({document}) => {
    directory.apply(document);
    parts.register.configure(document);
    markUpstreams(parts);
  });
  return looking;
}
