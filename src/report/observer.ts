import {
  CONFIGURATION_STREAM,
  type AcceptedConfiguration,
} from '../config/index.js';
import type {Member, Membership} from '../instance/index.js';
import type {Log} from '../platform/index.js';
import type {SummaryBacklog} from '../telemetry/index.js';
import type {Timer} from '../timer/index.js';
import {takesWork, type Directory, type Upstream} from '../upstream/index.js';
import type {
  InstanceView,
  LeaseView,
  MemberView,
  UpstreamView,
} from './fleetreport.js';

/** What an instance's view of the fleet is drawn from. */
export interface InstanceViewParts {
  membership: Membership;
  directory: Directory;
  configuration: () => AcceptedConfiguration | undefined;
  log: Log;
  timer: Timer;
  backlog: () => SummaryBacklog;
  leases: () => LeaseView[];
  /** Offset of the next configuration record that the instance will read. */
  configurationPosition: () => number;
}

/** Draws what this instance sees of the fleet. */
export async function captureInstanceView(
  parts: InstanceViewParts,
): Promise<InstanceView> {
  const {membership, directory, timer} = parts;
  const {name, incarnation, zone, status} = membership.self();
  return {
    instance: name,
    incarnation,
    zone,
    configurationVersion: parts.configuration()?.version ?? 0,
    members: membership.all().map(memberView),
    upstreams: directory.all().map(item => upstreamView(item, timer.now())),
    leases: parts.leases(),
    log: await logView(parts),
    backlog: parts.backlog(),
    queued: status.queued,
    running: status.running,
    memoryBytes: process.memoryUsage.rss(),
  };
}

function memberView({
  name,
  incarnation,
  zone,
  state,
  status,
}: Member): MemberView {
  const {configurationVersion} = status;
  return {name, incarnation, zone, state, configurationVersion};
}

function upstreamView(upstream: Upstream, now: number): UpstreamView {
  const {name, zone, inflight, load} = upstream;
  const view = {
    name,
    pool: upstream.pool.name,
    zone,
    inflight,
    takesWork: takesWork(upstream),
  };
  if (load === undefined) return view;
  const {receivedAt, running, waiting, memory, leaving} = load;
  const ageMs = Math.round(now - receivedAt);
  return {...view, load: {running, waiting, memory, leaving, ageMs}};
}

async function logView({log, timer, configurationPosition}: InstanceViewParts) {
  const start = timer.now();
  const position = configurationPosition();
  const page = await log.read(CONFIGURATION_STREAM, {from: position, limit: 1});
  const answerMs = Math.round(timer.now() - start);
  if (page.isErr()) return {reachable: false, answerMs};
  const lagRecords = Math.max(0, page.value.next - configurationPosition());
  return {reachable: true, answerMs, lagRecords};
}
