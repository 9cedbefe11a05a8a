import {z} from 'zod';
import type {Subscription, Timer} from '../timer/index.js';
import {
  NoticeSource,
  takesWork,
  type Directory,
  type LeavingRegister,
} from '../upstream/index.js';
import type {Discovery} from './discovery.js';
import type {GossipMembership} from './gossipmembership.js';
import type {PeerAddress, PeerClient, PeerServer} from './peerrpc.js';

/** Gossip topic of the notices of leaving upstreams. */
const LEAVING_TOPIC = 'leaving';
const COMMAND_METHOD = 'upstream.leaving';
const LIST_METHOD = 'upstream.list';
const CALL_TIMEOUT_MS = 2_000;
/** Time between two checks of the upstreams' load reports, in ms. */
const LOAD_POLL_PERIOD_MS = 250;

const commandSchema = z.object({upstream: z.string(), leaving: z.boolean()});

const upstreamSummariesSchema = z.array(
  z.object({
    upstream: z.string(),
    pool: z.string(),
    takesWork: z.boolean(),
    sources: z.array(z.enum(NoticeSource)),
  }),
);

/** An upstream, as an instance returns it to operators. */
export type UpstreamSummary = z.output<typeof upstreamSummariesSchema>[number];

/** An operator's command names an upstream that is not configured. */
export class UnknownUpstream extends Error {
  readonly type = 'unknownUpstream';

  constructor(readonly upstream: string) {
    super(`there is no upstream ${upstream}`);
  }
}

/** Dependencies of [[connectLeavingUpstreams]]. */
export interface LeavingUpstreamsParts {
  register: LeavingRegister;
  directory: Directory;
  membership: GossipMembership;
  server: PeerServer;
  timer: Timer;
  discovery?: Discovery;
}

/**
 * Feeds the register of leaving upstreams from gossip, the platform's list, the
 * upstreams' load reports and operators' commands, and copies its state to the
 * directory that placement reads. Ending the returned subscription ends only
 * the checks of the load reports.
 */
export function connectLeavingUpstreams(
  parts: LeavingUpstreamsParts,
): Subscription {
  const {register, directory, membership, discovery, timer} = parts;
  membership.addTopic({
    name: LEAVING_TOPIC,
    merge: (_key, value) => register.merge(value),
    snapshot: () =>
      register.all().map(item => ({topic: LEAVING_TOPIC, ...item})),
  });
  register.onNotice(item =>
    membership.broadcast({topic: LEAVING_TOPIC, ...item}),
  );
  register.subscribe(() => markLeavingUpstreams(parts));
  discovery?.subscribe(listed => {
    for (const {kind, name, state} of listed) {
      if (kind !== 'upstream') continue;
      register.observe(name, NoticeSource.List, state === 'leaving');
    }
  });
  serveCommands(parts);
  return timer.every(LOAD_POLL_PERIOD_MS, () => {
    for (const {name, load} of directory.all()) {
      if (load === undefined) continue;
      register.observe(name, NoticeSource.Upstream, load.leaving);
    }
  });
}

/** Copies the register's state to the upstreams of the directory. */
export function markLeavingUpstreams({
  register,
  directory,
}: LeavingUpstreamsParts): void {
  for (const upstream of directory.all()) {
    upstream.leaving = register.isLeaving(upstream.name);
  }
}

function serveCommands({
  register,
  directory,
  server,
}: LeavingUpstreamsParts): void {
  server.handle(COMMAND_METHOD, params => {
    const {upstream, leaving} = commandSchema.parse(params);
    const isConfigured = directory.all().some(({name}) => name === upstream);
    if (!isConfigured) return Promise.reject(new UnknownUpstream(upstream));
    register.applyCommand(upstream, leaving);
    return Promise.resolve({upstream, leaving});
  });
  server.handle(LIST_METHOD, () => {
    const summaries = directory.all().map((upstream): UpstreamSummary => ({
      upstream: upstream.name,
      pool: upstream.pool.name,
      takesWork: takesWork(upstream),
      sources: register.sources(upstream.name),
    }));
    return Promise.resolve(summaries);
  });
}

/**
 * Tells an instance that an upstream is leaving or, with `leaving` false, takes
 * requests again. The instance passes it on to the fleet.
 */
export function sendLeavingCommand(
  client: PeerClient,
  instance: PeerAddress,
  upstream: string,
  leaving: boolean,
) {
  const params = {upstream, leaving};
  return client.call(instance, COMMAND_METHOD, params, CALL_TIMEOUT_MS);
}

/** Fetches the upstreams of an instance; undefined if the call fails. */
export async function fetchUpstreams(
  client: PeerClient,
  instance: PeerAddress,
): Promise<UpstreamSummary[] | undefined> {
  const answer = await client.call(instance, LIST_METHOD, {}, CALL_TIMEOUT_MS);
  const parsed = upstreamSummariesSchema.safeParse(answer.unwrapOr(undefined));
  return parsed.success ? parsed.data : undefined;
}
