import {AdmissionScheduler} from '../../src/admission/index.js';
import {documentSchema, type Configuration} from '../../src/config/index.js';
import {
  MemberState,
  type Member,
  type Membership,
} from '../../src/instance/index.js';
import {AttemptEnd, type ParsedRequest} from '../../src/request/index.js';
import {nullRecorder} from '../../src/telemetry/index.js';
import {SystemTimer} from '../../src/timer/index.js';
import {Directory} from '../../src/upstream/index.js';
import {seededRandom} from '../../stand-ins/index.js';
import {Deployment, exampleOf} from '../deployment.js';
import {fitLine, type Point, type LinearFit} from './linear-fit.js';

const RUNNER_COUNTS = [6, 60, 600, 2_600];
const WORKSPACE_COUNTS = [10, 1_000, 10_000];
/** The target size has 340 instances for 2,600 runners. */
const INSTANCES_PER_RUNNER = 340 / 2_600;
const MEASURED_DECISIONS = 4_000;
const WARM_UP_DECISIONS = 2_000;
/** Placements held at the same time, so that decisions see loaded runners. */
const MAX_HELD = 24;
const DECISION_BUDGET_US = 50;
const PROMPT = 'A question on the catalogue of reels and cores. '.repeat(100);
const MICROS_PER_MS = 1_000;

function configurationOf(runners: number, workspaces: number): Configuration {
  const document = documentSchema.parse(exampleOf(Deployment.Nilecoil));
  const zones = document.zones.map(({name}) => name);
  const [workspace] = document.workspaces;
  if (workspace !== undefined) {
    document.workspaces = Array.from({length: workspaces}, (_, index) => ({
      ...workspace,
      name: `workspace-${index}`,
    }));
  }
  for (const pool of document.pools) {
    if (pool.kind !== 'runner') continue;
    pool.upstreams = Array.from({length: runners}, (_, index) => ({
      name: `runner-${index}`,
      zone: zones[index % zones.length] ?? '',
      url: `http://127.0.0.1:${10_000 + index}`,
    }));
  }
  return document;
}

function requestOf(configuration: Configuration, index: number): ParsedRequest {
  const {classes, workspaces} = configuration;
  const serviceClass = classes.find(({name}) => name === 'operator-chat');
  const workspace = workspaces[(index * 7_919) % workspaces.length];
  const now = performance.now();
  return {
    id: `request-${index}`,
    workspace: workspace as ParsedRequest['workspace'],
    serviceClass: serviceClass as ParsedRequest['serviceClass'],
    configurationVersion: 1,
    demand: {
      type: 'generation',
      model: 'tube-7b',
      prompt: `${index % 50} ${PROMPT}`,
      stream: true,
    },
    method: 'POST',
    path: '/v1/chat/completions',
    contentType: 'application/json',
    body: Buffer.alloc(0),
    repeatable: true,
    resumable: false,
    arrivedAt: now,
    deadlineAt: now + 60_000,
    priorAttempts: 0,
  };
}

/**
 * Membership with as many instances for the runners as at the target size, and
 * at least three.
 */
function membershipOf({zones}: Configuration, runners: number): Membership {
  const count = Math.max(3, Math.round(runners * INSTANCES_PER_RUNNER));
  const members = Array.from({length: count}, (_, index): Member => ({
    name: `router-${index}`,
    incarnation: 1,
    zone: zones[index % zones.length]?.name ?? '',
    host: '127.0.0.1',
    port: 1,
    state: MemberState.Alive,
    status: {configurationVersion: 1, queued: 0, running: 0},
  }));
  return {
    self: () => members[0] as Member,
    live: () => members,
    all: () => members,
    updateStatus: () => undefined,
    subscribe: () => undefined,
  };
}

/** Median time of the synchronous part of one admission decision, in µs. */
async function medianDecisionUs(
  runners: number,
  workspaces: number,
): Promise<number> {
  const configuration = configurationOf(runners, workspaces);
  const directory = new Directory('127.0.0.1');
  directory.apply(configuration);
  const scheduler = new AdmissionScheduler({
    directory,
    membership: membershipOf(configuration, runners),
    timer: new SystemTimer(),
    recorder: nullRecorder,
    zone: configuration.zones[0]?.name ?? '',
    random: seededRandom(1),
  });
  scheduler.apply(configuration);
  const signal = new AbortController().signal;
  const held = [];
  const samples: number[] = [];
  for (let index = 0; index < WARM_UP_DECISIONS + MEASURED_DECISIONS; index++) {
    const request = requestOf(configuration, index);
    const start = performance.now();
    const pending = scheduler.acquire(request, {tried: new Set()}, signal);
    const elapsedMs = performance.now() - start;
    if (index >= WARM_UP_DECISIONS) samples.push(elapsedMs * MICROS_PER_MS);
    const placed = await pending;
    if (placed.isErr()) continue;
    placed.value.firstToken();
    held.push(placed.value);
    if (held.length > MAX_HELD) held.shift()?.release(AttemptEnd.Completed);
  }
  for (const placement of held) placement.release(AttemptEnd.Completed);
  await directory.close();
  samples.sort((a, b) => a - b);
  return samples[Math.floor(samples.length / 2)] ?? NaN;
}

/** Measures the time of an admission decision by runners and workspaces. */
export async function measureDecisionTime(): Promise<LinearFit[]> {
  const byRunners: Point[] = [];
  for (const runners of RUNNER_COUNTS) {
    byRunners.push([
      runners,
      await medianDecisionUs(runners, WORKSPACE_COUNTS[0] ?? 1),
    ]);
  }
  const byWorkspaces: Point[] = [];
  for (const workspaces of WORKSPACE_COUNTS) {
    byWorkspaces.push([
      workspaces,
      await medianDecisionUs(RUNNER_COUNTS[0] ?? 1, workspaces),
    ]);
  }
  const common = {unit: 'µs', budget: DECISION_BUDGET_US};
  return [
    fitLine(
      {
        ...common,
        name: 'decision cost by runners',
        against: 'runners',
        target: 2_600,
      },
      byRunners,
    ),
    fitLine(
      {
        ...common,
        name: 'decision cost by workspaces',
        against: 'workspaces',
        target: 10_000,
      },
      byWorkspaces,
    ),
  ];
}
