import {mkdtempSync, rmSync} from 'node:fs';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {execFileSync} from 'node:child_process';
import {afterAll, afterEach, beforeAll, expect, test, vi} from 'vitest';
import {
  encodeConfiguration,
  HOST,
  lastingKeyOf,
  ServiceName,
  UPSTREAMS_TOPIC,
  WORKSPACES,
} from '../bench/soak/deployment.js';
import {GatewayProcess} from '../bench/soak/gatewayprocess.js';
import {SoakHistory} from '../bench/soak/history.js';
import {encodeEntry, Registration} from '../bench/soak/registration.js';
import {startKeyedStore} from '../stand-ins/index.js';
import {LOOPBACK} from '../stand-ins/loopback.js';
import {CALLERS, type Received} from './support/callers.js';

/** How an upstream marks the end of its answer. */
enum Framing {
  Length = 'a length',
  Chunks = 'chunks',
  Connection = 'its connection',
}

/** Which process ends, of those that an answer comes through, and how. */
enum End {
  Kill = 'its instance is killed',
  PowerCut = 'its instance loses power',
  PeerKill = 'the peer that relays it is killed',
  PeerStop = 'the peer that relays it is stopped for longer than its grace',
  Stop = 'its instance is stopped for longer than its grace',
}

const PART = 'x'.repeat(16 * 1024);
const EVENT = 'data: x\n\n';
/** Parts of a whole answer, of which none is ever sent completely. */
const PARTS = 10_000;
const PART_PERIOD_MS = 40;
/** Time from the first bytes of all answers to the end, in ms. */
const END_AFTER_MS = 200;
/** Time for which a host without power is silent, in ms. */
const POWER_CUT_MS = 300;
/** Time of a request of the warm-up, and between its rounds, in ms. */
const WARM_UP_MS = 100;
/** Begins the ids of requests whose answers are whole. */
const WARM_UP = 'warm-up';
/** Rounds of the warm-up in a row in which all kinds must be served. */
const WARM_UP_ROUNDS = 2;
const METRICS_PORT = 9464;
const KEY = lastingKeyOf(WORKSPACES[0]);
const HEADERS = {authorization: `Bearer ${KEY}`};
const PATHS = ['/look/', '/order/', '/stream/', '/resume/'];

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

let store: Awaited<ReturnType<typeof startKeyedStore>>;
let gateway: GatewayProcess;
let peer: GatewayProcess;
const servers: Server[] = [];
const folder = mkdtempSync(join(tmpdir(), 'gypsumcourse-'));

/** Registers an upstream that answers endlessly, framed as its path says. */
async function addUpstream(service: ServiceName, index: number): Promise<void> {
  const isStream = service === ServiceName.Streams;
  const part = isStream ? EVENT : PART;
  const id = `${service}-${index}`;
  const server = createServer((message, response) => {
    const request = message.headers['x-request-id'];
    response.setHeader('x-instance-id', id);
    if (typeof request !== 'string') {
      response.end('{"born":1}');
      return;
    }
    response.setHeader('x-request-id', request);
    response.setHeader('x-response-seal', `seal-of-${request}`);
    if (isStream) response.setHeader('content-type', 'text/event-stream');
    if (request.startsWith(WARM_UP)) {
      setTimeout(() => response.end(part), WARM_UP_MS);
      return;
    }
    const framing = Object.values(Framing)[Number(message.url?.split('/')[2])];
    if (framing === Framing.Length) {
      response.setHeader('content-length', PARTS * part.length);
    } else if (framing === Framing.Connection) {
      response.useChunkedEncodingByDefault = false;
    }
    const writing = setInterval(() => response.write(part), PART_PERIOD_MS);
    response.on('close', () => clearInterval(writing));
  });
  // The instance reaches it through the peer only.
  server.on('connection', socket => {
    if (socket.remoteAddress === gateway.host) socket.resetAndDestroy();
  });
  servers.push(server);
  await new Promise<void>(done => server.listen(0, LOOPBACK, done));
  const {port} = server.address() as AddressInfo;
  const entry = encodeEntry({
    service,
    address: `${LOOPBACK}:${port}`,
    version: 'v1',
    state: Registration.Ready,
    seq: 1,
    born: 1,
  });
  store.log.append(UPSTREAMS_TOPIC, id, entry);
}

beforeAll(async () => {
  execFileSync(process.execPath, [join('scripts', 'bundle.mjs')]);
  store = await startKeyedStore(0, {}, LOOPBACK);
  const keys = new Map([[KEY, WORKSPACES[0]]]);
  const configuration = encodeConfiguration({version: 1, keys});
  const history = new SoakHistory();
  gateway = await GatewayProcess.open(0, store.port, folder, history);
  peer = await GatewayProcess.open(1, store.port, folder, history);
  // `fetch` names the address as the host.
  const changed = String(configuration)
    .replaceAll(/"timeoutMs":\d+/g, '"timeoutMs":60000')
    .replaceAll(HOST, gateway.ingress.host);
  store.log.append('keyed.op', 'config', Buffer.from(changed));
  // One alone takes fewer requests at a time than are sent.
  for (const service of Object.values(ServiceName)) {
    for (const index of [0, 1]) await addUpstream(service, index);
  }
});

// Answers of a test that has failed must not fill the upstreams of the next.
afterEach(() => Promise.all([gateway.kill(), peer.kill()]));

afterAll(async () => {
  for (const server of servers) {
    server.close();
    server.closeAllConnections();
  }
  for (const {ingress, storeLink} of [gateway, peer]) {
    await Promise.all([ingress.close(), storeLink.close()]);
  }
  await store.close();
  rmSync(folder, {recursive: true});
});

async function end(how: End): Promise<void> {
  switch (how) {
    case End.Kill:
      return gateway.kill();
    case End.Stop:
      return gateway.terminate();
    case End.PeerKill:
      return peer.kill();
    case End.PeerStop:
      return peer.terminate();
    case End.PowerCut:
      // Nothing more comes, until the host is back and knows nothing of them.
      gateway.ingress.silence('both');
      await gateway.kill();
      await sleep(POWER_CUT_MS);
      gateway.ingress.reset();
  }
}

let warmUps = 0;

const isServed = async (kind: string) => {
  const controller = new AbortController();
  const {signal} = controller;
  const headers = {...HEADERS, 'x-request-id': `${WARM_UP}-${warmUps++}`};
  const url = `${gateway.ingress.url}${kind}0`;
  const response = await fetch(url, {headers, signal}).catch(() => undefined);
  controller.abort();
  return response?.status === 200;
};

/** Whether the instance has found that it reaches no upstream by itself. */
async function isIsolated(): Promise<boolean> {
  const page = await fetch(`http://${gateway.host}:${METRICS_PORT}/metrics`);
  const isolated = /services_isolated (\d+)$/m.exec(await page.text())?.[1];
  return Number(isolated) === Object.values(ServiceName).length;
}

/**
 * Starts both processes, and waits until answers come through the peer. One
 * answer of a service does not show that: the instance may have found only one
 * upstream unreachable, and lose requests on connections to the other.
 */
async function startBoth(): Promise<void> {
  gateway.start();
  peer.start();
  await Promise.all([gateway.untilReady(), peer.untilReady()]);
  for (let rounds = 0; rounds < WARM_UP_ROUNDS;) {
    const wasIsolated = await isIsolated();
    // More than one at a time, so that both upstreams of a service are tried.
    const kinds = [...PATHS, ...PATHS, ...PATHS];
    const served = await Promise.all(kinds.map(isServed));
    const isWarm = wasIsolated && !served.includes(false);
    rounds = isWarm ? rounds + 1 : 0;
    if (!isWarm) await sleep(WARM_UP_MS);
  }
}

const FORMS = Object.values(Framing).flatMap((_, form) =>
  PATHS.map(kind => `${kind}${form}`),
);

// Answers without a length looked whole where the peer was killed.
test.each(Object.values(End))(
  'no caller takes a part of an answer through a peer for the whole when %s',
  async how => {
    await startBoth();
    const {host, port} = gateway.ingress;
    const target = {host, port, key: KEY};
    const begun = new Map<string, number>();
    const answers: Array<Promise<Received>> = [];
    for (const path of FORMS) {
      CALLERS.forEach((send, n) => {
        const id = `${Object.values(End).indexOf(how)}-${path}-${n}`;
        const request = {...target, path, id};
        answers.push(send(request, status => begun.set(id, status)));
      });
      // A single peer opens few connections at a time in its time limit.
      await vi.waitFor(() => expect(begun.size).toBe(answers.length), 15_000);
    }
    // An error of the instance's own is whole, and no part of an answer.
    expect([...begun].filter(([, status]) => status !== 200)).toEqual([]);
    await sleep(END_AFTER_MS);
    await end(how);
    // No other peer is left that answers could go on through.
    const received = await Promise.all(answers);
    expect(received.filter(({looksWhole}) => looksWhole)).toEqual([]);
    const notBegun = received.filter(
      ({bytes, status}) => bytes === 0 || status !== 200,
    );
    expect(notBegun).toEqual([]);
  },
  60_000,
);
