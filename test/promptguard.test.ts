import assert from 'node:assert/strict';
import {pino} from 'pino';
import {beforeEach, expect, test} from 'vitest';
import {decodeEntry} from '../platform/entry.js';
import {decodeEvidence, encodeEvidence} from '../src/fleet/evidencemessage.js';
import {Endpoint} from '../src/forward/endpoint.js';
import {ProbeResult} from '../src/forward/liveness.js';
import {PromptGuard} from '../src/forward/promptguard.js';
import {Quarantine, type CrashReport} from '../src/quarantine/index.js';
import {Path} from '../src/relay/index.js';
import {ManualTimer} from '../src/timer/index.js';
import {wireEntry} from './support/gateway.js';

const FIRST_PROBE_MS = 30;
const LAST_PROBE_MS = 1_000;

let timer: ManualTimer;
let guard: PromptGuard;
let endpoint: Endpoint;
let reports: CrashReport[];
/** What probes show from now on. */
let shown: ProbeResult;
/** What probes show that may pass through a peer; as others by default. */
let shownByPeers: ProbeResult | undefined;

beforeEach(() => {
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
    logger: pino({enabled: false}),
  });
  reports = [];
  guard.subscribe(evidence => {
    if (evidence.type === 'crash') reports.push(evidence);
  });
  const value = Buffer.from(JSON.stringify(wireEntry('engine', 1)));
  const entry = decodeEntry('i-1', value);
  assert(!('reason' in entry));
  endpoint = new Endpoint(entry, '127.0.0.1');
  shown = ProbeResult.Alive;
  shownByPeers = undefined;
});

function breakAnswer(request: string, openMs: number): void {
  const sentAt = timer.now() - openMs;
  guard.recordBreak(endpoint, {request, parts: ['hot', 'bad', 'own'], sentAt});
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

test('an upstream that peers still reach has not crashed', async () => {
  await timer.advance(5_000);
  shown = ProbeResult.Refused;
  shownByPeers = ProbeResult.Alive;
  breakAnswer('r1', 90);
  await timer.advance(LAST_PROBE_MS);
  expect(reports).toEqual([]);
});
