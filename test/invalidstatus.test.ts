import assert from 'node:assert/strict';
import {afterEach, describe, expect, test} from 'vitest';
import {decodeEntry} from '../platform/entry.js';
import {HttpFeed} from '../platform/feed.js';
import {protocol} from '../platform/headers.js';
import {Endpoint} from '../src/forward/endpoint.js';
import {LivenessProber, type ResponseObserver} from '../src/forward/index.js';
import {fetchReport} from '../src/forward/processreport.js';
import {Topic} from '../src/registry/index.js';
import {SystemTimer} from '../src/timer/index.js';
import {LOOPBACK} from '../stand-ins/loopback.js';
import {openAnswers} from './support/answers.js';
import {
  call,
  RawUpstream,
  startTestGateway,
  successHead,
  wireEntry,
  withoutReports,
  type RawRequest,
  type TestGateway,
} from './support/gateway.js';
import {CHAT_HEADERS, RelayedFleet, WARM_UP} from './support/relayedfleet.js';

const STATUSES = ['000', '099', '101', '600', '700', '999'].map(status => ({
  status,
}));
/** Time within which a broken answer is told to its caller, in ms. */
const MAX_ANSWER_MS = 1_000;
const EVENTS = 'id: 1\ndata: x\n\n';

let gateways: TestGateway[] = [];
let fleet: RelayedFleet | undefined;
let upstreams: RawUpstream[] = [];

afterEach(async () => {
  await Promise.all(gateways.splice(0).map(({gateway}) => gateway.stop()));
  await fleet?.close();
  fleet = undefined;
  for (const upstream of upstreams.splice(0)) upstream.close();
  gateways = [];
  upstreams = [];
});

/** The head of an answer with a status and all marks of its upstream. */
function headOf(status: string, id: string, more: string): string {
  return successHead(id, more).replace(' 200 OK', ` ${status} OK`);
}

/** Starts a gateway whose upstreams leave all but reports to `respond`. */
async function start(
  service: string,
  count: number,
  respond: (request: RawRequest) => void,
): Promise<number> {
  const entries = [];
  for (let index = 0; index < count; index++) {
    const raw = new RawUpstream(withoutReports(respond));
    upstreams.push(raw);
    entries.push({service, id: `i-${index}`, port: await raw.listen()});
  }
  const started = await startTestGateway(entries, 300);
  gateways.push(started);
  return started.gateway.port;
}

async function startFleet(
  respond: (request: RawRequest) => void,
): Promise<number> {
  const entries = ['plain', 'plain', 'engine', 'engine'].map(
    (service, index) => ({
      service,
      id: `${service}-${index}`,
      raw: new RawUpstream(
        withoutReports(request => {
          if (!request.id.startsWith(WARM_UP)) respond(request);
          else {
            const head = successHead(request.id, 'Content-Length: 0\r\n');
            request.socket.write(head);
          }
        }),
      ),
    }),
  );
  upstreams = entries.map(({raw}) => raw);
  fleet = await RelayedFleet.open(entries);
  return fleet.port;
}

const FRAMINGS = [
  {framing: 'a length', header: 'Content-Length: 2\r\n', body: 'ok'},
  {
    framing: 'chunks',
    header: 'Transfer-Encoding: chunked\r\n',
    body: '2\r\nok\r\n0\r\n\r\n',
  },
  {framing: 'no length on a kept connection', header: '', body: ''},
];

describe.each(STATUSES)('an answer with status $status', ({status}) => {
  test.each(FRAMINGS)(
    'and $framing does not reach the caller of a request that runs once',
    async ({header, body}) => {
      const port = await start('plain', 1, ({id, socket}) =>
        socket.write(headOf(status, id, header) + body),
      );
      const startedAt = performance.now();
      const answer = await call(port, '/order/a', 'r1', {method: 'POST'});
      expect(performance.now() - startedAt).toBeLessThan(MAX_ANSWER_MS);
      expect(answer?.status).toBe(502);
      expect(answer?.headers['x-response-seal']).toBeUndefined();
    },
  );

  test('is replaced by that of another upstream', async () => {
    let runs = 0;
    const port = await start('plain', 2, ({id, socket}) => {
      const used = runs++ === 0 ? status : '200';
      socket.write(`${headOf(used, id, 'Content-Length: 2\r\n')}ok`);
    });
    const answer = await call(port, '/look/a', 'r1');
    expect([answer?.status, answer?.body, runs]).toEqual([200, 'ok', 2]);
  });

  test('is replaced by that of another engine in a stream that goes on', async () => {
    let runs = 0;
    const type = 'Content-Type: text/event-stream\r\n';
    const length = `Content-Length: ${EVENTS.length}\r\n`;
    const port = await start('engine', 2, ({id, socket}) => {
      const used = runs++ === 0 ? status : '200';
      socket.write(headOf(used, id, type + length) + EVENTS);
    });
    const options = {method: 'POST', headers: CHAT_HEADERS};
    const answer = await call(port, '/chat/a', 'r1', options);
    expect([answer?.status, answer?.body, runs]).toEqual([200, EVENTS, 2]);
  });
});

test('an answer with an invalid status does not reach the caller through a peer', async () => {
  let status = '200';
  const port = await startFleet(({id, socket}) =>
    socket.write(`${headOf(status, id, 'Content-Length: 2\r\n')}ok`),
  );
  for (status of STATUSES.map(({status}) => status)) {
    for (const path of ['/order/a', '/look/a', '/chat/a']) {
      const answer = await call(port, path, `r-${status}-${path}`, {
        method: path === '/look/a' ? 'GET' : 'POST',
        headers: CHAT_HEADERS,
      });
      expect(answer?.headers['x-response-seal']).toBeUndefined();
      // Upstreams that are ejected get no request.
      expect(answer?.status).toBeOneOf([502, 503]);
    }
  }
});

test.each(STATUSES)(
  'a report with status $status is none',
  async ({status}) => {
    const raw = new RawUpstream(({socket}) => {
      socket.write(`HTTP/1.1 ${status} \r\nContent-Length: 0\r\n\r\n`);
    });
    upstreams.push(raw);
    const port = await raw.listen();
    const value = Buffer.from(JSON.stringify(wireEntry('engine', port)));
    const entry = decodeEntry('i-1', value);
    assert(!('reason' in entry));
    const endpoint = new Endpoint(entry, LOOPBACK);
    const timer = new SystemTimer();
    const heads: number[] = [];
    const report = await fetchReport({
      endpoint,
      connection: endpoint.connections.openDirectly(),
      protocol,
      timer,
      answers: openAnswers(),
      signal: new AbortController().signal,
      observe: head => heads.push(head.status),
    });
    expect(report.isErr()).toBe(true);
    const observer = {
      observe: (_endpoint: Endpoint, head: {status: number}) =>
        heads.push(head.status) < 0,
    } as unknown as ResponseObserver;
    const prober = new LivenessProber(timer, protocol, observer);
    expect(await prober.answers(endpoint)).toBe(false);
    expect(heads).toEqual([]);
  },
);

test.each(STATUSES)(
  'a page of the store with status $status is none',
  async ({status}) => {
    const body = '{"items":[],"hasMore":false,"end":7}';
    const raw = new RawUpstream(({socket}) => {
      const length = `Content-Length: ${body.length}\r\n`;
      socket.write(`HTTP/1.1 ${status} \r\n${length}\r\n${body}`);
    });
    upstreams.push(raw);
    const address = `${LOOPBACK}:${await raw.listen()}`;
    const timeouts = {connectMs: 300, responseMs: 300};
    const feed = new HttpFeed(address, LOOPBACK, timeouts);
    const page = await feed.snapshot(Topic.Configuration);
    expect(page.isErr()).toBe(true);
    const put = await feed.put(Topic.Instances, 'entry-1', Buffer.from('x'));
    expect(put.isErr()).toBe(true);
  },
);

test('upstreams whose answers have no valid status are ejected', async () => {
  const port = await start('plain', 1, ({id, socket}) =>
    socket.write(`${headOf('600', id, 'Content-Length: 2\r\n')}ok`),
  );
  for (let index = 0; index < 4; index++) {
    await call(port, '/order/a', `r${index}`, {method: 'POST'});
  }
  const [started] = gateways;
  const ejected = started?.logLines.find(({event}) => event === 'health');
  expect(ejected).toMatchObject({
    sign: 'broken',
    cause: 'InvalidStatus: a response with status 600',
  });
});

test('an interim response is followed by the answer', async () => {
  const port = await start('plain', 1, ({id, socket}) => {
    socket.write('HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n');
    socket.write(`${successHead(id, 'Content-Length: 2\r\n')}ok`);
  });
  const answer = await call(port, '/order/a', 'r1', {method: 'POST'});
  expect([answer?.status, answer?.body]).toEqual([200, 'ok']);
});
