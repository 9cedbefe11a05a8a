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

const TOPIC = 'leaving';
const COMMAND_METHOD = 'upstream.leaving';
const LIST_METHOD = 'upstream.list';
const CALL_TIMEOUT_MS = 2_000;
/** Time between two looks at the load reports that arrived, in ms. */
const LOOK_PERIOD_MS = 250;

const commandSchema = z.object({upstream: z.string(), leaving: z.boolean()});

const viewSchema = z.array(
  z.object({
    upstream: z.string(),
    pool: z.string(),
    takesWork: z.boolean(),
    sources: z.array(z.enum(NoticeSource)),
  }),
);

/** An upstream as an instance tells operators of it. */
export type UpstreamSummary = z.output<typeof viewSchema>[number];

/** An operator's command named an upstream that is not configured. */
export class UnknownUpstream extends Error {
  readonly type = 'unknownUpstream';

  constructor(readonly upstream: string) {
    super(`there is no upstream ${upstream}`);
  }
}

/** What takes part in the knowledge of leaving upstreams. */
export interface LeavingUpstreamsParts {
  register: LeavingRegister;
  directory: Directory;
  fleet: GossipMembership;
  server: PeerServer;
  timer: Timer;
  discovery?: Discovery;
}

/**
 * Connects the register of leaving upstreams to all that tells of them, and to
 * the directory that work is placed by. Ends with the returned subscription.
 */
export function connectLeavingUpstreams(
  parts: LeavingUpstreamsParts,
): Subscription {
  const {register, directory, fleet, discovery, timer} = parts;
  fleet.addTopic({
    name: TOPIC,
    merge: (_key, value) => register.merge(value),
    snapshot: () => register.all().map(item => ({topic: TOPIC, ...item})),
  });
  register.onNotice(item => fleet.broadcast({topic: TOPIC, ...item}));
  register.subscribe(() => markLeavingUpstreams(parts));
  discovery?.subscribe(listed => {
    for (const {kind, name, state} of listed) {
      if (kind !== 'upstream') continue;
      register.observe(name, NoticeSource.List, state === 'leaving');
    }
  });
  serveCommands(parts);
  return timer.every(LOOK_PERIOD_MS, () => {
    for (const {name, load} of directory.all()) {
      if (load === undefined) continue;
      register.observe(name, NoticeSource.Upstream, load.leaving);
    }
  });
}

/** Marks the directory's upstreams as the register has them. */
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
    const known = directory.all().some(({name}) => name === upstream);
    if (!known) return Promise.reject(new UnknownUpstream(upstream));
    register.applyCommand(upstream, leaving);
    return Promise.resolve({upstream, leaving});
  });
  server.handle(LIST_METHOD, () => {
    const views = directory.all().map((upstream): UpstreamSummary => ({
      upstream: upstream.name,
      pool: upstream.pool.name,
      takesWork: takesWork(upstream),
      sources: register.sources(upstream.name),
    }));
    return Promise.resolve(views);
  });
}

/** Tells an instance, and so the fleet, that an upstream leaves or returns. */
export function sendLeavingCommand(
  client: PeerClient,
  instance: PeerAddress,
  upstream: string,
  leaving: boolean,
) {
  const params = {upstream, leaving};
  return client.call(instance, COMMAND_METHOD, params, CALL_TIMEOUT_MS);
}

/** Asks an instance for its upstreams; undefined without an answer. */
export async function fetchUpstreams(
  client: PeerClient,
  instance: PeerAddress,
): Promise<UpstreamSummary[] | undefined> {
  const answer = await client.call(instance, LIST_METHOD, {}, CALL_TIMEOUT_MS);
  const parsed = viewSchema.safeParse(answer.unwrapOr(undefined));
  return parsed.success ? parsed.data : undefined;
}
