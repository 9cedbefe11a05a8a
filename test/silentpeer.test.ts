import assert from 'node:assert/strict';
import {err} from 'neverthrow';
import {expect, test} from 'vitest';
import {decodeEntry} from '../platform/entry.js';
import {protocol} from '../platform/headers.js';
import {DirectDialer} from '../src/forward/directdialer.js';
import {Endpoint} from '../src/forward/endpoint.js';
import {LivenessProber, type ResponseObserver} from '../src/forward/index.js';
import {ProbeResult} from '../src/forward/liveness.js';
import {Pause} from '../src/forward/pause.js';
import {RateLimit} from '../src/forward/ratelimit.js';
import {
  Dialer,
  Path,
  RelayChoice,
  RelayClient,
  type Tunnels,
  type UpstreamLinks,
} from '../src/relay/index.js';
import {SystemTimer} from '../src/timer/index.js';
import {RawUpstream, wireEntry} from './support/gateway.js';

const SILENT = {host: '127.0.0.2', port: 1};
const OTHER = {host: '127.0.0.3', port: 1};

/** Peers of which one stands still and the others don't reach the upstream. */
const tunnels: Tunnels = {
  open: ({host}) =>
    host === SILENT.host
      ? new Promise(() => undefined)
      : Promise.resolve(err({type: 'upstream', code: 'ECONNREFUSED'})),
};

test.each([
  {peers: [SILENT], what: 'the only peer'},
  {peers: [SILENT, OTHER], what: 'one of two peers'},
])('$what that stands still hides no end of an upstream', async ({peers}) => {
  const raw = new RawUpstream(() => undefined);
  const port = await raw.listen();
  raw.close();
  const value = Buffer.from(JSON.stringify(wireEntry('engine', port)));
  const entry = decodeEntry('i-1', value);
  assert(!('reason' in entry));
  const timer = new SystemTimer();
  const choice = new RelayChoice(
    () => undefined,
    'zone-a',
    () => 0,
  );
  const links: Partial<UpstreamLinks> = {
    pathTo: () => Path.Direct,
    noteFailure: () => undefined,
  };
  const dialer = new Dialer({
    direct: new DirectDialer('127.0.0.1'),
    relays: new RelayClient({tunnels, choice, peers: () => peers, timer}),
    links: links as UpstreamLinks,
    timer,
  });
  const endpoint = new Endpoint(
    entry,
    '127.0.0.1',
    new Pause(),
    new RateLimit(),
    dialer,
  );
  const observer = {observe: () => false} as unknown as ResponseObserver;
  const prober = new LivenessProber(timer, protocol, observer);
  const result = await prober.probe(endpoint, Path.Relayed);
  expect(result).toBe(ProbeResult.Refused);
});
