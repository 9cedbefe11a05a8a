import {createServer, type Server, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterAll, beforeAll, describe, expect, it, test} from 'vitest';
import {call} from '../bench/caller.js';
import {
  demoKey,
  Deployment,
  exampleOf,
  withUpstreamUrls,
} from '../bench/deployment.js';
import {CONFIGURATION_STREAM} from '../src/config/index.js';
import {checkSettings} from '../src/instance/index.js';
import {isFramed} from '../src/request/framing.js';
import {Level, openStderrLogger} from '../src/telemetry/index.js';
import {startRouter, type Router} from '../src/wiring/index.js';
import {startLog, type LogStandIn} from '../stand-ins/index.js';

/** Faulty upstream answers. The value is the prompt and ends the test title. */
enum Defect {
  WrongId = 'answers another request',
  NoEnd = 'ends a stream without its end',
  UnframedStream = 'ends a stream that nothing frames without its end',
  ShortBody = 'breaks off a body',
}

/** A plain answer that ends with its connection. */
interface UnframedAnswer {
  body: string;
  status?: number;
  type?: string;
  /** Whether the connection is reset at the end. */
  reset?: boolean;
}

/** Prompt of requests that get the planned answers. */
const UNFRAMED = 'gets an answer that nothing frames';
const COMPLETION = '{"choices":[{"message":{"content":"x"}}]}';
/** Answers to the next attempts; the last one is repeated. */
let plannedAnswers: UnframedAnswer[] = [];
let attempts = 0;

/** Text that only the upstream's token contains, and no request id. */
const TOKEN_TEXT = 'a token of another request';
const TOKEN = `data: {"choices":[{"delta":{"content":"${TOKEN_TEXT}"}}]}\n\n`;

let upstream: Server;
let log: LogStandIn;
let router: Router;

function sendAnswer(
  defect: Defect,
  id: string,
  response: ServerResponse,
): void {
  const headers = {'x-request-id': id, 'content-type': 'text/event-stream'};
  switch (defect) {
    case Defect.WrongId:
      response.writeHead(200, {...headers, 'x-request-id': 'of-somebody-else'});
      response.end(`id: 0\n${TOKEN}data: [DONE]\n\n`);
      return;
    case Defect.NoEnd:
      response.writeHead(200, headers);
      response.end(`id: 0\n${TOKEN}`);
      return;
    case Defect.UnframedStream:
      response.removeHeader('transfer-encoding');
      response.writeHead(200, headers);
      response.end(`id: 0\n${TOKEN}data: [DONE]`);
      return;
    case Defect.ShortBody:
      response.writeHead(200, {
        'x-request-id': id,
        'content-type': 'application/json',
        'content-length': 100,
      });
      response.write('{"choices":', () => response.destroy());
      return;
  }
}

function sendPlanned(id: string, response: ServerResponse): void {
  const [answer] = plannedAnswers;
  if (plannedAnswers.length > 1) plannedAnswers.shift();
  attempts++;
  response.removeHeader('transfer-encoding');
  response.writeHead(answer?.status ?? 200, {
    'x-request-id': id,
    'content-type': answer?.type ?? 'application/json',
  });
  response.flushHeaders();
  const {socket} = response;
  if (answer?.reset === true) {
    response.write(answer.body);
    setTimeout(() => socket?.resetAndDestroy(), 20);
  } else {
    response.end(answer?.body);
  }
}

beforeAll(async () => {
  upstream = createServer((message, response) => {
    const chunks: Buffer[] = [];
    message.on('data', (chunk: Buffer) => chunks.push(chunk));
    message.on('end', () => {
      const body = Buffer.concat(chunks).toString();
      const defect = Object.values(Defect).find(name => body.includes(name));
      const id = String(message.headers['x-request-id'] ?? '');
      if (body.includes(UNFRAMED)) sendPlanned(id, response);
      else if (defect === undefined) response.writeHead(404).end();
      else sendAnswer(defect, id, response);
    });
  });
  await new Promise<void>(resolve => upstream.listen(0, '127.0.0.1', resolve));
  const {port} = upstream.address() as AddressInfo;
  log = await startLog();
  const settings = checkSettings({
    instance: 'entry-1',
    zone: 'delta-1',
    port: 0,
    peerPort: 0,
    logUrl: log.url,
  })._unsafeUnwrap();
  router = await startRouter(settings, openStderrLogger(Level.Silent));
  const example = exampleOf(Deployment.Nilecoil);
  const document = withUpstreamUrls(example, () => `http://127.0.0.1:${port}`);
  await fetch(`${log.url}/streams/${CONFIGURATION_STREAM}/records`, {
    method: 'POST',
    body: JSON.stringify({type: 'submission', id: 'first', base: 0, document}),
  });
  const ready = `http://127.0.0.1:${router.port}/readyz`;
  while (!(await fetch(ready)).ok) {
    await new Promise(next => setImmediate(next));
  }
});

afterAll(async () => {
  await router.stop();
  await log.close();
  upstream.close();
});

describe('an answer that is not whole or not its own', () => {
  for (const defect of Object.values(Defect)) {
    it(`is not passed off as complete when an upstream ${defect}`, async () => {
      const reply = await call({
        url: `http://127.0.0.1:${router.port}`,
        path: '/v1/chat/completions',
        key: demoKey('glue-lab'),
        body: {
          model: 'tube-7b',
          stream: defect !== Defect.ShortBody,
          messages: [{role: 'user', content: defect}],
        },
      });
      expect(reply.ended).toBe(false);
      expect(reply.outcome).toBe('failed');
      if (defect === Defect.WrongId) {
        expect(reply.text).not.toContain(TOKEN_TEXT);
        expect(reply.text).not.toContain('of-somebody-else');
      }
    });
  }
});

test.each([
  ['POST', 200, {}, false],
  ['POST', 200, {connection: 'close'}, false],
  ['POST', 200, {'transfer-encoding': 'chunked, gzip'}, false],
  ['POST', 404, {}, false],
  ['POST', 200, {'transfer-encoding': 'gzip, Chunked'}, true],
  ['POST', 200, {'content-length': '0'}, true],
  ['POST', 204, {}, true],
  ['GET', 304, {}, true],
  ['HEAD', 200, {}, true],
])('%s, %i and %o frame an answer: %s', (method, status, headers, framed) => {
  expect(isFramed(method, status, headers)).toBe(framed);
});

describe('a plain answer that nothing frames', () => {
  const ask = (...answers: UnframedAnswer[]) => {
    plannedAnswers = answers;
    attempts = 0;
    return call({
      url: `http://127.0.0.1:${router.port}`,
      path: '/v1/chat/completions',
      key: demoKey('glue-lab'),
      body: {
        model: 'tube-7b',
        messages: [{role: 'user', content: UNFRAMED}],
      },
    });
  };
  const cut: UnframedAnswer = {body: COMPLETION.slice(0, -1)};

  it('is complete if it is a whole JSON document', async () => {
    for (const reset of [false, true]) {
      const reply = await ask({body: `${COMPLETION}\n`, reset});
      expect(reply).toMatchObject({
        status: 200,
        outcome: 'completed',
        text: `${COMPLETION}\n`,
      });
      expect(attempts).toBe(1);
    }
  });

  it.each<[string, UnframedAnswer]>([
    ['a part of a document', cut],
    ['a part of a document before a reset', {...cut, reset: true}],
    ['nothing', {body: ''}],
    ['what may be a part of a number', {body: '12'}],
    ['of a type that shows no end', {body: 'text', type: 'text/plain'}],
    [
      'the first of several documents',
      {body: `${COMPLETION}\n`, type: 'application/jsonl'},
    ],
  ])('is not complete if it is %s', async (_name, answer) => {
    const reply = await ask(answer);
    expect(reply).toMatchObject({
      status: 502,
      outcome: 'failed',
      error: 'upstreamLost',
    });
    expect(attempts).toBeGreaterThan(1);
  });

  it('is complete without a body if its status allows none', async () => {
    const reply = await ask({body: '', status: 204});
    expect(reply).toMatchObject({status: 204, outcome: 'completed', text: ''});
  });

  it.each([600, 999])(
    'does not reach its caller with status %i',
    async status => {
      const reply = await ask({body: COMPLETION, status});
      expect(reply).toMatchObject({status: 502, outcome: 'failed'});
    },
  );

  it('is asked for again if it is a part', async () => {
    const reply = await ask(cut, {body: COMPLETION});
    expect(reply).toMatchObject({outcome: 'completed', text: COMPLETION});
    expect(attempts).toBe(2);
  });

  it('may have been run if it is a part', async () => {
    plannedAnswers = [cut];
    attempts = 0;
    const reply = await call({
      url: `http://127.0.0.1:${router.port}`,
      path: '/services/stock/orders',
      key: demoKey('winding-line'),
      headers: {'gypsumcourse-class': 'reel-order'},
      body: {item: UNFRAMED},
    });
    expect([reply.outcome, attempts]).toEqual(['unknown', 1]);
  });

  it('is passed on as a failure if it is whole or a text', async () => {
    for (const answer of [
      {body: '{"error":"no such model"}', status: 404},
      {body: 'no such mod', status: 404, type: 'text/plain'},
    ]) {
      const {status, outcome, text} = await ask(answer);
      expect([status, outcome, text]).toEqual([404, 'failed', answer.body]);
      expect(attempts).toBe(1);
    }
  });

  it.each(['application/json; charset=utf-8', 'application/problem+json'])(
    'is no failure of the request if it is a part of %s',
    async type => {
      const failure = {body: '{"error":"no such', status: 404, type};
      const reply = await ask(failure, {body: COMPLETION});
      expect(reply.outcome).toBe('completed');
      expect(attempts).toBe(2);
    },
  );
});
