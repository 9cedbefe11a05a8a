import assert from 'node:assert/strict';
import {pino} from 'pino';
import {beforeEach, expect, test} from 'vitest';
import {decodeEntry} from '../platform/entry.js';
import {decodeEvidence, encodeEvidence} from '../src/fleet/evidencemessage.js';
import {Endpoint} from '../src/forward/endpoint.js';
import {ProbeResult} from '../src/forward/liveness.js';
import {AnswerSign} from '../src/forward/answersign.js';
import {PromptGuard} from '../src/forward/promptguard.js';
import {Quarantine, type CrashReport} from '../src/quarantine/index.js';
import {Path} from '../src/relay/index.js';
import {ManualTimer} from '../src/timer/index.js';
import {wireEntry} from './support/gateway.js';

const FIRST_PROBE_MS = 30;
const LAST_PROBE_MS = 1_000;
const MIN_GAP_MS = 100;

let timer: ManualTimer;
let guard: PromptGuard;
let endpoint: Endpoint;
let reports: CrashReport[];
/** What probes show from now on. */
let shown: ProbeResult;
/** What probes show that may pass through a peer; as others by default. */
let shownByPeers: ProbeResult | undefined;
/** Log lines of the guard. */
const lines: string[] = [];

beforeEach(() => {
  lines.length = 0;
  timer = new ManualTimer();
  guard = new PromptGuard({
    instance: 'entry-1',
    quarantine: new Quarantine({timer}),
    probes: {
      probe: (_endpoint, path) =>
        Promise.resolve(
          path === Path.Relayed ? (shownByPeers ?? shown) : shown,
        ),
    },
    timer,
    logger: pino(
      {base: null, timestamp: false, messageKey: 'text'},
      {write: (line: string) => void lines.push(line)},
    ),
  });
  reports = [];
  guard.subscribe(evidence => {
    if (evidence.type === 'crash') reports.push(evidence);
  });
  endpoint = endpointOf('i-1');
  shown = ProbeResult.Alive;
  shownByPeers = undefined;
});

function endpointOf(id: string): Endpoint {
  const value = Buffer.from(JSON.stringify(wireEntry('engine', 1)));
  const entry = decodeEntry(id, value);
  assert(!('reason' in entry));
  return new Endpoint(entry, '127.0.0.1');
}

function breakAnswer(request: string, openMs: number, at = endpoint): void {
  const sentAt = timer.now() - openMs;
  guard.recordBreak(at, {request, parts: ['hot', 'bad', 'own'], sentAt});
}

test('requests that end together are the suspects of one crash', async () => {
  shown = ProbeResult.Refused;
  await timer.advance(5_000);
  breakAnswer('r1', 90);
  await timer.advance(2);
  breakAnswer('r2', 60);
  await timer.advance(FIRST_PROBE_MS);
  expect(reports).toHaveLength(1);
  expect(reports[0]?.suspects.map(({request}) => request)).toEqual([
    'r1',
    'r2',
  ]);
  await timer.advance(LAST_PROBE_MS);
  expect(reports).toHaveLength(1);
});

test('peers can read a report on a request sent after an earlier break', async () => {
  await timer.advance(5_000);
  breakAnswer('broken connection', 90);
  await timer.advance(500);
  breakAnswer('crash', 100);
  shown = ProbeResult.Refused;
  await timer.advance(LAST_PROBE_MS);
  const [report] = reports;
  assert(report);
  const crash = report.suspects.find(({request}) => request === 'crash');
  expect(crash?.openMs).toBe(100);
  const now = timer.now();
  const wire: unknown = JSON.parse(JSON.stringify(encodeEvidence(report, now)));
  expect(decodeEvidence(wire, now)).toEqual(report);
});

test('a crash after a connection that broke off for another reason is seen', async () => {
  await timer.advance(5_000);
  breakAnswer('broken connection', 90);
  await timer.advance(350);
  breakAnswer('crash', 100);
  shown = ProbeResult.Refused;
  await timer.advance(500);
  // The next process listens before the last probe after the first break.
  shown = ProbeResult.Alive;
  await timer.advance(LAST_PROBE_MS);
  expect(reports).toHaveLength(1);
});

test('an upstream that peers still reach has not crashed', async () => {
  await timer.advance(5_000);
  shown = ProbeResult.Refused;
  shownByPeers = ProbeResult.Alive;
  breakAnswer('r1', 90);
  await timer.advance(LAST_PROBE_MS);
  expect(reports).toEqual([]);
});

/** Fields of the log lines about an event. */
const logged = (event: string) =>
  lines
    .map(line => JSON.parse(line) as Record<string, unknown>)
    .filter(line => line['event'] === event);

test('a log line tells what probes showed of an upstream that broke off answers', async () => {
  shown = ProbeResult.Silent;
  await timer.advance(5_000);
  breakAnswer('r1', 90);
  await timer.advance(2);
  breakAnswer('r2', 60);
  await timer.advance(2);
  await timer.advance(LAST_PROBE_MS + MIN_GAP_MS);
  expect(logged('examined')).toMatchInlineSnapshot(`
    [
      {
        "broken": 2,
        "event": "examined",
        "level": 30,
        "probes": [
          "silent",
          "silent",
          "silent",
        ],
        "requests": [
          "r1",
          "r2",
        ],
        "text": "An upstream broke off answers at their beginning and was probed.",
        "upstream": "i-1",
        "verdict": "unproven",
      },
    ]
  `);
});

test('a log line tells which answer cleared a part under suspicion', async () => {
  shown = ProbeResult.Refused;
  for (const [index, request] of ['r1', 'r2'].entries()) {
    await timer.advance(5_000);
    breakAnswer(request, 90, endpointOf(`i-${index}`));
    await timer.advance(LAST_PROBE_MS);
  }
  const answer = {upstream: 'i-2', sign: AnswerSign.Rejection};
  guard.recordAnswer({...answer, request: 'r4', parts: ['other', 'own']});
  guard.recordAnswer({...answer, request: 'r5', parts: ['hot', 'bad', 'own']});
  guard.recordAnswer({...answer, request: 'r6', parts: ['hot', 'bad', 'own']});
  expect(logged('cleared')).toMatchInlineSnapshot(`
    [
      {
        "cleared": [
          {
            "crashes": 2,
            "part": "bad",
          },
        ],
        "event": "cleared",
        "level": 30,
        "request": "r5",
        "sign": "rejection",
        "text": "An answer clears prompt parts that were suspected of crashing upstreams.",
        "upstream": "i-2",
      },
    ]
  `);
});
