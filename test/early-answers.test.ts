import type {Socket} from 'node:net';
import {afterEach, describe, expect, test} from 'vitest';
import {
  call,
  openTestFeed,
  PROCESS_START,
  RawUpstream,
  startGatewayOn,
  successHead,
  wireConfiguration,
  withoutReports,
  type CallerResponse,
  type RawRequest,
} from './support/gateway.js';
import {CHAT_HEADERS, RelayedFleet, WARM_UP} from './support/relayedfleet.js';
import {sleep} from './support/silentupstream.js';
import {Topic} from '../src/registry/index.js';
import type {Gateway} from '../src/wiring/gateway.js';

/** Less than the system of an upstream keeps that reads nothing. */
const UPLOAD = Buffer.alloc(900_000, 'u');
/** More than TCP sends without an acknowledgement at first. */
const SHORT_UPLOAD = Buffer.alloc(20_000, 'u');
/** More than the systems of both ends keep. */
const LONG_UPLOAD = Buffer.alloc(12_000_000, 'u');
const MAX_BODY_BYTES = 16_000_000;
const EVENT_STREAM = 'Content-Type: text/event-stream\r\n';
const EVENT = 'id: 1\ndata: x\n\n';
/** Larger than what is held back until an answer is whole. */
const LONG = 'x'.repeat(600_000);

const RESETS = [0, 5, 100].map(resetMs => ({resetMs}));

let gateway: Gateway | undefined;
let fleet: RelayedFleet | undefined;
let upstreams: RawUpstream[] = [];

afterEach(async () => {
  await gateway?.stop();
  await fleet?.close();
  gateway = undefined;
  fleet = undefined;
  for (const upstream of upstreams.splice(0)) upstream.close();
});

type Respond = (request: RawRequest, run: number) => void;

/** A `respond` of an upstream that is called for the heads of requests only. */
function onHeads(respond: Respond): (request: RawRequest) => void {
  let runs = 0;
  return withoutReports(request => {
    if (request.id === '') return;
    if (request.id.startsWith(WARM_UP)) {
      request.socket.write(successHead(request.id, 'Content-Length: 0\r\n'));
    } else respond(request, runs++);
  });
}

/** Starts a gateway with upstreams; returns its port. */
async function start(service: string, count: number, respond: Respond) {
  const entries = [];
  const onRequest = onHeads(respond);
  for (let index = 0; index < count; index++) {
    const raw = new RawUpstream(onRequest);
    upstreams.push(raw);
    entries.push({service, id: `i-${index}`, port: await raw.listen()});
  }
  const feed = openTestFeed(entries);
  const configuration = wireConfiguration(2);
  configuration.limits.maxBodyBytes = MAX_BODY_BYTES;
  feed.add(Topic.Configuration, 'config', configuration);
  ({gateway} = await startGatewayOn(feed, 300));
  return gateway.port;
}

/** Starts gateways of which the first reaches upstreams through the others. */
async function startFleet(respond: Respond) {
  const onRequest = onHeads(respond);
  const entries = ['plain', 'plain', 'engine', 'engine'].map(
    (service, index) => ({
      service,
      id: `${service}-${index}`,
      raw: new RawUpstream(onRequest),
    }),
  );
  upstreams = entries.map(({raw}) => raw);
  fleet = await RelayedFleet.open(entries);
  return fleet.port;
}

function send(port: number, path: string, body = UPLOAD) {
  return call(port, path, 'r1', {method: 'POST', body, headers: CHAT_HEADERS});
}

/** Ends an answer in order, and resets its connection later. */
function breakOff({socket}: RawRequest, bytes: string, resetMs: number): void {
  socket.pause();
  socket.end(bytes);
  setTimeout(() => socket.resetAndDestroy(), resetMs);
}

const looksWhole = (answer?: CallerResponse) =>
  answer?.status === 200 && answer.complete;

describe.each(RESETS)(
  'an answer without a length to an upload that is not read, reset $resetMs ms after its end,',
  ({resetMs}) => {
    test('does not look whole', async () => {
      const port = await start('plain', 1, request =>
        breakOff(request, `${successHead(request.id, '')}part`, resetMs),
      );
      const answer = await send(port, '/order/a');
      expect([answer?.status, answer?.complete]).toEqual([502, true]);
    });

    test('does not look whole if the upload is longer than a first flight', async () => {
      const port = await start('plain', 1, request =>
        breakOff(request, `${successHead(request.id, '')}part`, resetMs),
      );
      const answer = await send(port, '/order/a', SHORT_UPLOAD);
      expect([answer?.status, answer?.complete]).toEqual([502, true]);
    });

    test('is replaced by that of another upstream where it may be', async () => {
      const port = await start('plain', 2, (request, run) => {
        const head = successHead(request.id, 'Connection: close\r\n');
        if (run === 0) breakOff(request, `${head}part`, resetMs);
        else readThenAnswer(request, `${head}whole`);
      });
      const answer = await send(port, '/look/a');
      expect([answer?.status, answer?.body]).toEqual([200, 'whole']);
    });

    test('is cut if its caller has a part of it', async () => {
      const port = await start('plain', 1, request =>
        breakOff(request, successHead(request.id, '') + LONG, resetMs),
      );
      expect(looksWhole(await send(port, '/order/a'))).toBe(false);
    });

    test('goes on at another engine if it is a resumable stream', async () => {
      const port = await start('engine', 2, (request, run) => {
        const head = successHead(request.id, EVENT_STREAM);
        if (run === 0) {
          breakOff(request, head + EVENT, resetMs);
          return;
        }
        const last = /last-event-id: (\d+)/i.exec(request.text)?.[1];
        const rest = 'id: 2\ndata: y\n\n';
        readThenAnswer(request, head + (last === '1' ? rest : EVENT + rest));
      });
      const answer = await send(port, '/chat/a');
      expect([answer?.body, answer?.complete]).toEqual([
        `${EVENT}id: 2\ndata: y\n\n`,
        true,
      ]);
    });
  },
);

test('an answer without a length to an upload that is not read does not look whole through a peer', async () => {
  let resetMs = 0;
  const port = await startFleet(request => {
    const {id, text} = request;
    const isStream = text.startsWith('POST /chat/');
    const part = isStream
      ? successHead(id, EVENT_STREAM) + EVENT
      : `${successHead(id, '')}part`;
    breakOff(request, part, resetMs);
  });
  for ({resetMs} of RESETS) {
    for (const path of ['/order/a', '/look/a', '/chat/a']) {
      const answer = await send(port, path);
      expect([path, resetMs, looksWhole(answer)]).toEqual([
        path,
        resetMs,
        false,
      ]);
    }
  }
});

/** Answers once the body of [[UPLOAD]] has come. */
function readThenAnswer({socket, text}: RawRequest, answer: string): void {
  let left = UPLOAD.length - (text.length - text.indexOf('\r\n\r\n') - 4);
  const end = () => socket.end(answer);
  if (left <= 0) end();
  socket.on('data', bytes => {
    left -= bytes.length;
    if (left <= 0) end();
  });
}

test('an answer without a length that ends before its upload could be sent does not look whole', async () => {
  const port = await start('plain', 1, ({id, socket}) => {
    socket.pause();
    socket.end(`${successHead(id, '')}part`);
  });
  const answer = await send(port, '/order/a', LONG_UPLOAD);
  expect([answer?.status, answer?.complete]).toEqual([502, true]);
});

test.each([
  {listener: 'the same process', bornMs: 0},
  {listener: 'the next process', bornMs: 1_000},
])(
  'an answer without a length to a long upload whose connection ends with others, where $listener listens, does not look whole',
  async ({bornMs}) => {
    let born = PROCESS_START;
    const asked: Socket[] = [];
    const raw = new RawUpstream(({id, text, socket}) => {
      if (text.startsWith('GET /v1/report ')) {
        asked.push(socket);
        const body = JSON.stringify({born});
        const length = `Content-Length: ${body.length}\r\n`;
        socket.write(`HTTP/1.1 200 \r\n${length}\r\n${body}`);
      } else if (id !== '') {
        socket.write(`${successHead(id, '')}part`);
        setTimeout(() => {
          born += bornMs;
          raw.hangUp();
        }, 150);
      }
    });
    upstreams.push(raw);
    const entry = {service: 'plain', id: 'i-1', port: await raw.listen()};
    ({gateway} = await startGatewayOn(openTestFeed([entry]), 300));
    const answer = await send(gateway.port, '/order/a');
    expect(asked.length).toBeGreaterThan(0);
    expect([answer?.status, answer?.complete]).toEqual([502, true]);
  },
);

test('answers without a length are whole if their upload was read', async () => {
  const respond = (request: RawRequest) =>
    readThenAnswer(request, `${successHead(request.id, '')}whole`);
  const port = await start('plain', 1, respond);
  const answer = await send(port, '/order/a');
  expect([answer?.body, answer?.complete]).toEqual(['whole', true]);
  const fleetPort = await startFleet(respond);
  const relayed = await send(fleetPort, '/order/a');
  expect([relayed?.body, relayed?.complete]).toEqual(['whole', true]);
});

test.each([
  {header: 'Content-Length: 5\r\n', bytes: 'whole'},
  {
    header: 'Transfer-Encoding: chunked\r\n',
    bytes: '5\r\nwhole\r\n0\r\n\r\n',
  },
])(
  'the rest of an upload comes before other bytes after an early answer with $header',
  async ({header, bytes}) => {
    const received: Buffer[] = [];
    let first: RawRequest | undefined;
    const port = await start('plain', 1, (request, run) => {
      request.socket.write(successHead(request.id, header) + bytes);
      if (run > 0) return;
      first = request;
      received.push(Buffer.from(request.text, 'latin1'));
      request.socket.on('data', chunk => received.push(chunk));
      request.socket.pause();
      setTimeout(() => request.socket.resume(), 300);
    });
    const answer = await send(port, '/order/a', LONG_UPLOAD);
    expect([answer?.body, answer?.complete]).toEqual(['whole', true]);
    const next = await call(port, '/order/b', 'r2', {method: 'POST'});
    expect([next?.body, next?.complete]).toEqual(['whole', true]);
    await sleep(100);
    const sent = Buffer.concat(received).toString('latin1');
    const body = sent.slice(sent.indexOf('\r\n\r\n') + 4);
    expect(first).toBeDefined();
    expect(body.slice(0, LONG_UPLOAD.length).replaceAll('u', '')).toBe('');
  },
);
