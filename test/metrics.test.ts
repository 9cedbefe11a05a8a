import {execFile} from 'node:child_process';
import {join} from 'node:path';
import {promisify} from 'node:util';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {call, type Reply} from '../bench/caller.js';
import {Cluster} from '../bench/cluster.js';
import {demoKey, Deployment, exampleOf} from '../bench/deployment.js';
import {packageRoot} from '../src/cli/packageroot.js';
import {GapReason, type BurnReport} from '../src/report/index.js';
import type {EngineExecution} from '../stand-ins/index.js';
import {LATENCY_RELATIVE_ERROR} from '../src/telemetry/index.js';

const run = promisify(execFile);
/** Time in which the end of an answer is with its caller. */
const MAX_RETURN_MS = 20;
const SECRET_PROMPT = 'the secret of the glue';

/** A reply, and the time in which its router answered a trivial request. */
interface TimedReply extends Reply {
  accessMs: number;
}

let cluster: Cluster;
let replies: TimedReply[];

const router = (index = 0) => cluster.routers[index];

const get = (path: string, init: RequestInit = {}) =>
  fetch(`${router()?.operatorUrl}${path}`, {
    headers: {authorization: `Bearer ${Cluster.operatorSecret}`},
    ...init,
  });

const setLevel = (level: string) =>
  get('/api/log-level', {
    method: 'PUT',
    body: JSON.stringify({level}),
    headers: {authorization: `Bearer ${Cluster.operatorSecret}`},
  });

const cli = (...args: string[]) =>
  run(
    process.execPath,
    [
      join(packageRoot(), 'build/src/cli/main.js'),
      ...args,
      '--url',
      router()?.operatorUrl ?? '',
    ],
    {
      env: {
        GYPSUMCOURSE_OPERATOR_SECRET: Cluster.operatorSecret,
        // Instance settings that other commands must ignore.
        GYPSUMCOURSE_SEEDS: '127.0.0.1:1',
        GYPSUMCOURSE_LOG_URL: 'http://127.0.0.1:1',
      },
    },
  );

/** Polls the report until the condition holds or 10 s have passed. */
async function burnReportWhen(
  condition: (report: BurnReport) => boolean,
): Promise<BurnReport> {
  const end = Date.now() + 10_000;
  for (;;) {
    const report = (await (await get('/api/burn')).json()) as BurnReport;
    if (condition(report) || Date.now() > end) return report;
  }
}

function medianOf(values: number[]): number {
  const sorted = values.sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

/** Times from start to end at the engines that ran the requests, in ms. */
async function executionTimes(requests: Reply[]): Promise<number[]> {
  const engines = cluster.upstreams.filter(({kind}) => kind === 'runner');
  const journals = await Promise.all(
    engines.map(engine => cluster.journal<EngineExecution>(engine)),
  );
  const executions = new Map(
    journals.flat().map(execution => [execution.id, execution]),
  );
  return requests.map(({id}) => {
    const {startedAt, endedAt} = executions.get(id) ?? {startedAt: 0};
    return endedAt === undefined ? Infinity : endedAt - startedAt;
  });
}

/** Sends a chat, and right behind it a request that its router answers itself. */
async function chat(index: number): Promise<TimedReply> {
  const url = router(index % 3)?.url ?? '';
  const key = demoKey('glue-lab');
  const [reply, access] = await Promise.all([
    call({
      url,
      path: '/v1/chat/completions',
      key,
      body: {
        model: 'tube-7b',
        stream: true,
        messages: [{role: 'user', content: `${SECRET_PROMPT} ${index}`}],
        metadata: {output_tokens: '20'},
      },
    }),
    call({url, path: '/readyz', key}),
  ]);
  return {...reply, accessMs: access.totalMs};
}

beforeAll(async () => {
  cluster = await Cluster.start({
    document: exampleOf(Deployment.Nilecoil),
    routers: 3,
    behaviourOf: () => ({stepMs: 10}),
  });
  await setLevel('debug');
  replies = [];
  for (let wave = 0; wave < 5; wave++) {
    const calls = Array.from({length: 12}, (_, n) => chat(wave * 12 + n));
    replies.push(...(await Promise.all(calls)));
  }
});

afterAll(() => cluster.stop());

describe("the operators' listener", () => {
  it('refuses requests without the right secret', async () => {
    const paths = ['/metrics', '/api/burn', '/api/fleet', '/api/log-level'];
    for (const path of paths) {
      const answers = [
        await get(path, {headers: {}}),
        await get(path, {headers: {authorization: 'Bearer wrong'}}),
      ];
      expect(answers.map(({status}) => status)).toEqual([401, 401]);
    }
  });

  it('exposes metrics in the Prometheus text format', async () => {
    const text = await (await get('/metrics')).text();
    const names = [...text.matchAll(/^# TYPE (\S+ \S+)$/gm)].map(m => m[1]);
    expect(names).toMatchInlineSnapshot(`
      [
        "gypsumcourse_requests_total counter",
        "gypsumcourse_requests_attained_total counter",
        "gypsumcourse_tokens_total counter",
        "gypsumcourse_first_token_seconds histogram",
        "gypsumcourse_between_tokens_seconds histogram",
        "gypsumcourse_completion_seconds histogram",
        "gypsumcourse_wasted_tokens_total counter",
        "gypsumcourse_link_bytes_total counter",
        "gypsumcourse_configuration_version gauge",
        "gypsumcourse_instances gauge",
        "gypsumcourse_requests_queued gauge",
        "gypsumcourse_requests_running gauge",
        "gypsumcourse_memory_bytes gauge",
        "gypsumcourse_cpu_seconds_total counter",
        "gypsumcourse_trace_bytes gauge",
        "gypsumcourse_summaries_unsent gauge",
        "gypsumcourse_summaries_dropped_total counter",
        "gypsumcourse_log_appends_total counter",
        "gypsumcourse_log_reads_total counter",
        "gypsumcourse_peer_calls_total counter",
        "gypsumcourse_peer_bytes_total counter",
        "gypsumcourse_upstream_running gauge",
        "gypsumcourse_upstream_takes_work gauge",
      ]
    `);
    expect(text).toContain(
      'gypsumcourse_requests_total{class="recipe-advice",tier="0",' +
        `outcome="completed"} ${replies.length / 3}\n`,
    );
  });

  it('changes the log level at run time', async () => {
    expect((await setLevel('loud')).status).toBe(400);
    const changed = await setLevel('warn');
    expect(await changed.json()).toEqual({level: 'warn'});
    const lines = router()?.process?.errors.length;
    await chat(0).then(reply => replies.push(reply));
    expect(router()?.process?.errors.length).toBe(lines);
  });
});

describe('logs', () => {
  it('contain request, class and workspace but no prompt, key or secret', () => {
    const lines = router()?.process?.errors ?? [];
    const text = lines.join('\n');
    expect(text).toContain(replies[0]?.id);
    expect(text).toContain('"class":"recipe-advice"');
    expect(text).toContain('"workspace":"glue-lab"');
    for (const secret of [
      SECRET_PROMPT,
      demoKey('glue-lab'),
      Cluster.operatorSecret,
    ]) {
      expect(text).not.toContain(secret);
    }
  });
});

describe('the fleet report', () => {
  it('agrees with what the callers measured', async () => {
    const {stdout} = await cli('report', 'burn', '--json');
    const report = JSON.parse(stdout) as BurnReport;
    expect(report.silent).toEqual([]);
    expect(report.sources.map(({source}) => source)).toEqual(
      Array(3).fill('live'),
    );
    const row = report.classes.find(({name}) => name === 'recipe-advice');
    const completed = replies.filter(r => r.outcome === 'completed');
    expect(row?.total).toBe(replies.length);
    expect(row?.completed).toBe(completed.length);
    const latency = report.latencies.find(l => l.class === 'recipe-advice');
    expect(latency?.completion.count).toBe(completed.length);
    const median = medianOf(completed.map(({totalMs}) => totalMs));
    const reported = latency?.completion.p50 ?? 0;
    // A router ends a request after its engine and before its caller does.
    const engineMedian = medianOf(await executionTimes(completed));
    expect(reported).toBeLessThanOrEqual(median * (1 + LATENCY_RELATIVE_ERROR));
    // A router's times begin when it has read a request, which may wait for the
    // router and for this process, as the trivial request behind it did.
    const medianOnceRead = medianOf(
      completed.map(({totalMs, accessMs}) => totalMs - accessMs),
    );
    expect(reported).toBeGreaterThan(medianOnceRead - MAX_RETURN_MS);
    expect(reported).toBeGreaterThanOrEqual(
      engineMedian * (1 - LATENCY_RELATIVE_ERROR),
    );
  });

  it('explains single requests and prints tables', async () => {
    const explained = await cli('explain', replies[0]?.id ?? '');
    expect(explained.stdout).toContain('from workspace "glue-lab"');
    expect(explained.stdout).toContain('It ended as completed');
    await expect(cli('explain', 'nothing')).rejects.toMatchObject({code: 1});
    const burn = await cli('report', 'burn');
    expect(burn.stdout).toMatch(/recipe-advice +0 +95.0% +61/);
    const fleet = await cli('fleet');
    expect(fleet.stdout).toContain('router-1');
  });

  it('keeps the counts of a router that shut down and was replaced', async () => {
    await router(1)?.process?.terminate();
    await router(1)?.start();
    const isLive = ({source}: {source: string}) => source === 'live';
    const report = await burnReportWhen(
      ({sources}) => sources.filter(isLive).length === 3,
    );
    expect(report.sources.map(({source}) => source).sort()).toEqual([
      'live',
      'live',
      'live',
      'summaries',
    ]);
    const row = report.classes.find(({name}) => name === 'recipe-advice');
    expect([row?.total, report.gaps]).toEqual([replies.length, []]);
  });

  it('names a router that does not answer and its gap', async () => {
    router(2)?.process?.pause();
    const report = await burnReportWhen(({gaps}) => gaps.length > 0);
    router(2)?.process?.resume();
    const [gap] = report.gaps;
    expect([gap?.instance, gap?.reason]).toEqual(['router-3', 'silent']);
  });

  it('shows the run of a killed router as a gap', async () => {
    await router(2)?.process?.kill();
    await router(2)?.start();
    const ended = ({gaps}: BurnReport) =>
      gaps.find(({reason}) => reason === GapReason.EndedAbruptly);
    const report = await burnReportWhen(
      shown => ended(shown)?.to !== undefined,
    );
    const gap = ended(report);
    expect(gap?.instance).toBe('router-3');
    expect(gap?.to).toBeGreaterThan(gap?.from ?? Infinity);
  });

  it('notes missing data of ended routers if the log is down', async () => {
    await cluster.setBehaviour(cluster.log, {down: true});
    const {stdout} = await cli('report', 'burn');
    await cluster.setBehaviour(cluster.log, {down: false});
    expect(stdout).toContain('The log did not answer (refused)');
  });
});
