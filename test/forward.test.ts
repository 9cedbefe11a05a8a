import {once} from 'node:events';
import {connect} from 'node:net';
import {afterEach, expect, test, vi} from 'vitest';
import {LogEvent} from '../src/telemetry/index.js';
import {LOOPBACK} from '../stand-ins/loopback.js';
import {
  call,
  startTestGateway,
  RawUpstream,
  successHead,
  type RawRequest,
  type TestGateway,
  withoutReports,
} from './support/gateway.js';

const upstreams: RawUpstream[] = [];
const gateways: TestGateway[] = [];

afterEach(async () => {
  for (const upstream of upstreams.splice(0)) upstream.close();
  await Promise.all(gateways.splice(0).map(({gateway}) => gateway.stop()));
});

async function openUpstream(
  service: string,
  id: string,
  answer: (request: RawRequest) => void,
) {
  const raw = new RawUpstream(answer);
  upstreams.push(raw);
  return {service, id, port: await raw.listen(), raw};
}

async function openGateway(
  upstreams: Array<{service: string; id: string; port: number}>,
  graceMs = 300,
): Promise<TestGateway> {
  const started = await startTestGateway(upstreams, graceMs);
  gateways.push(started);
  return started;
}

function answerWith(body: string) {
  return ({id, socket}: RawRequest) => {
    socket.write(
      `${successHead(id, `Content-Length: ${body.length}\r\n`)}${body}`,
    );
  };
}

test('an answer reaches its caller with status, seal and body unchanged', async () => {
  const plain = await openUpstream('plain', 'i-1', answerWith('hello'));
  const {gateway} = await openGateway([plain]);
  const answer = await call(gateway.port, '/look/a?b=%20c', 'r1');
  expect({
    status: answer?.status,
    seal: answer?.headers['x-response-seal'],
    body: answer?.body,
  }).toMatchInlineSnapshot(`
    {
      "body": "hello",
      "seal": "seal-of-r1",
      "status": 200,
    }
  `);
  const lines = plain.raw.received[0]?.text.split('\r\n') ?? [];
  expect(lines.filter(line => !line.startsWith('x-deadline-ms')).sort())
    .toMatchInlineSnapshot(`
    [
      "",
      "",
      "GET /look/a?b=%20c HTTP/1.1",
      "connection: keep-alive",
      "host: shop.example",
      "x-expect-instance: i-1",
      "x-request-id: r1",
      "x-tenant: shop-one",
    ]
  `);
});

test('an answer without length that is reset midway never looks complete', async () => {
  const plain = await openUpstream('plain', 'i-1', ({id, socket}) => {
    socket.write(`${successHead(id, 'Connection: close\r\n')}half of it`);
    setTimeout(() => socket.resetAndDestroy(), 30);
  });
  const {gateway} = await openGateway([plain]);
  const answer = await call(gateway.port, '/order/a', 'r1', {method: 'POST'});
  expect(answer?.status).toBe(502);
  expect(answer?.headers['x-response-seal']).toBeUndefined();
});

test('an answer without length whose last bytes arrive with the reset never looks complete', async () => {
  // Both reach the gateway before it reads, as when its process is busy.
  const cut = await openUpstream('plain', 'i-1', ({id, socket}) => {
    socket.write(`${successHead(id, 'Connection: close\r\n')}the`);
    socket.resetAndDestroy();
  });
  const {gateway} = await openGateway([cut]);
  for (let turn = 0; turn < 5; turn++) {
    const answer = await call(gateway.port, '/order/a', `r${turn}`, {
      method: 'POST',
    });
    expect(answer?.status).toBe(502);
  }
});

test('an answer without length that ends properly is delivered completely', async () => {
  const plain = await openUpstream('plain', 'i-1', ({id, socket}) => {
    socket.end(`${successHead(id, 'Connection: close\r\n')}all of it`);
  });
  const {gateway} = await openGateway([plain]);
  const answer = await call(gateway.port, '/order/a', 'r1', {method: 'POST'});
  expect([answer?.status, answer?.body]).toEqual([200, 'all of it']);
  // The end was confirmed; with a length, an end of the gateway can't look like it.
  expect([
    answer?.headers['content-length'],
    answer?.headers['transfer-encoding'],
    answer?.headers.connection,
  ]).toEqual(['9', undefined, 'close']);
});

test('an answer with the id of another request is never delivered', async () => {
  const plain = await openUpstream('plain', 'i-1', ({socket}) => {
    answerWith('of another')({id: 'other', socket} as RawRequest);
  });
  const {gateway} = await openGateway([plain]);
  const answer = await call(gateway.port, '/order/a', 'r1', {method: 'POST'});
  expect(answer?.status).toBe(502);
});

test('a request that is not idempotent is not retried after a reset', async () => {
  const reset = ({socket}: RawRequest) => socket.resetAndDestroy();
  const one = await openUpstream('plain', 'i-1', reset);
  const two = await openUpstream('plain', 'i-2', reset);
  const {gateway} = await openGateway([one, two]);
  const answer = await call(gateway.port, '/order/a', 'r1', {method: 'POST'});
  expect(answer?.status).toBe(502);
  expect(one.raw.received.length + two.raw.received.length).toBe(1);
});

test('a request that outlives its caller still ends at its deadline', async () => {
  let closed = false;
  let receive: () => void = () => undefined;
  const received = new Promise<void>(resolve => (receive = resolve));
  const silent = await openUpstream('plain', 'i-1', ({socket}) => {
    socket.on('close', () => {
      closed = true;
    });
    receive();
  });
  const {gateway, logLines} = await openGateway([silent]);
  await call(gateway.port, '/order/a', 'r1', {
    method: 'POST',
    headers: {'x-deadline-ms': '200'},
    abortOn: received,
  });
  await vi.waitFor(() => expect(closed).toBe(true), {timeout: 2_000});
  const ended = () => logLines.find(({event}) => event === LogEvent.Ended);
  await vi.waitFor(() => expect(ended()).toMatchObject({outcome: 'gone'}));
});

test('a request whose caller left before a late process read it is not sent', async () => {
  const plain = await openUpstream('plain', 'i-1', answerWith('hello'));
  const {gateway, logLines} = await openGateway([plain]);
  const socket = connect(gateway.port, LOOPBACK);
  await once(socket, 'connect');
  // Lets the gateway accept the connection.
  await call(gateway.port, '/look/a', 'r1');
  socket.write(
    'GET /look/a HTTP/1.1\r\nhost: shop.example\r\nx-request-id: r2\r\n' +
      'authorization: Bearer key-one\r\n\r\n',
  );
  socket.destroy();
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 300);
  const ended = () => logLines.findLast(({event}) => event === LogEvent.Ended);
  await vi.waitFor(() => expect(ended()).toMatchObject({outcome: 'gone'}));
  expect(plain.raw.received.map(({id}) => id)).toEqual(['r1']);
});

test('an idempotent request is retried at another upstream after a reset', async () => {
  const one = await openUpstream('plain', 'i-1', ({socket}) =>
    socket.resetAndDestroy(),
  );
  const two = await openUpstream('plain', 'i-2', answerWith('hello'));
  const {gateway} = await openGateway([one, two]);
  const answers = await Promise.all(
    ['r1', 'r2'].map(id => call(gateway.port, '/look/a', id)),
  );
  expect(answers.some(answer => answer?.status === 200)).toBe(true);
});

test('a refusal by the upstream is passed on as a 503 with retry-after', async () => {
  const full = ({socket}: RawRequest) => {
    socket.write(
      'HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n',
    );
  };
  const plain = await openUpstream('plain', 'i-1', full);
  const {gateway} = await openGateway([plain]);
  const answer = await call(gateway.port, '/order/a', 'r1', {method: 'POST'});
  expect(answer?.status).toBe(503);
  expect(Number(answer?.headers['retry-after'])).toBeGreaterThan(0);
});

test('a 503 that does not say whether the request ran becomes a 502', async () => {
  const plain = await openUpstream('plain', 'i-1', ({id, socket}) => {
    socket.write(
      `HTTP/1.1 503 No\r\nX-Request-Id: ${id}\r\nContent-Length: 0\r\n\r\n`,
    );
  });
  const {gateway} = await openGateway([plain]);
  const answer = await call(gateway.port, '/order/a', 'r1', {method: 'POST'});
  expect(answer?.status).toBe(502);
});

const events = (from: number, to: number) =>
  Array.from(
    {length: to - from + 1},
    (_, index) => `id: ${from + index}\ndata: x\n\n`,
  ).join('');

const STREAM = 'Content-Type: text/event-stream\r\n';

test('a stream resumes after the last complete event at another upstream', async () => {
  const serve = ({id, socket, text}: RawRequest) => {
    const last = /last-event-id: (\d+)/i.exec(text)?.[1];
    if (last === undefined) {
      socket.write(
        `${successHead(id, `${STREAM}Transfer-Encoding: chunked\r\n`)}`,
      );
      const bytes = `${events(1, 3)}id: 4\nda`;
      socket.write(`${bytes.length.toString(16)}\r\n${bytes}\r\n`);
      setTimeout(() => socket.resetAndDestroy(), 30);
      return;
    }
    const bytes = events(Number(last) + 1, 6);
    const length = `Content-Length: ${bytes.length}\r\n`;
    socket.write(`${successHead(id, STREAM + length)}${bytes}`);
  };
  const respond = withoutReports(serve);
  const one = await openUpstream('engine', 'i-1', respond);
  const two = await openUpstream('engine', 'i-2', respond);
  const {gateway} = await openGateway([one, two]);
  const answer = await call(gateway.port, '/chat/a', 'r1', {
    method: 'POST',
    headers: {
      'x-model': 'm',
      'x-token-counts': '10,10',
      'x-prompt-prefix': 'a:5,b:5',
    },
  });
  expect([answer?.complete, answer?.body]).toEqual([true, events(1, 6)]);
});

test('a draining instance refuses a request that it could not finish', async () => {
  let finish = () => {};
  const plain = await openUpstream('plain', 'i-1', request => {
    finish = () => answerWith('late')(request);
  });
  const {gateway} = await openGateway([plain], 3_200);
  const stopped = gateway.stop();
  await new Promise(resolve => setTimeout(resolve, 1_600));
  const early = call(gateway.port, '/order/a', 'early', {method: 'POST'});
  await new Promise(resolve => setTimeout(resolve, 1_000));
  const late = await call(gateway.port, '/order/a', 'late', {method: 'POST'});
  expect([late?.status, late?.headers.connection]).toEqual([503, 'close']);
  finish();
  expect((await early)?.body).toBe('late');
  await stopped;
});

test('unknown API keys get 401 and unknown routes get 404', async () => {
  const plain = await openUpstream('plain', 'i-1', answerWith('hello'));
  const {gateway} = await openGateway([plain]);
  const headers = {authorization: 'Bearer another'};
  const refused = await call(gateway.port, '/look/a', 'r1', {headers});
  const unknown = await call(gateway.port, '/nowhere/', 'r2');
  expect([refused?.status, unknown?.status]).toEqual([401, 404]);
});

test('the log tells what a rejected request asked for and how old the configuration was', async () => {
  const plain = await openUpstream('plain', 'i-1', answerWith('hello'));
  const {gateway, logLines} = await openGateway([plain]);
  await call(gateway.port, `/nowhere/${'x'.repeat(300)}?key=secret`, 'r1');
  await vi.waitFor(() =>
    expect(logLines.find(({event}) => event === 'ended')).toMatchObject({
      status: 404,
      version: 1,
      rejected: {
        host: 'shop.example',
        path: `/nowhere/${'x'.repeat(191)}`,
        configurationAgeMs: expect.any(Number) as number,
      },
    }),
  );
});

/** Sends bytes on a new connection; resolves to the bytes received. */
function sendBytes(port: number, bytes: string): Promise<string> {
  return new Promise(resolve => {
    const socket = connect(port, LOOPBACK, () => socket.write(bytes));
    let text = '';
    socket.on('data', chunk => {
      text += chunk.toString('latin1');
    });
    socket.on('error', () => undefined);
    socket.on('close', () => resolve(text));
  });
}

test('invalid and oversized requests are answered with 400 and 431 and logged', async () => {
  const plain = await openUpstream('plain', 'i-1', answerWith('hello'));
  const {gateway, logLines} = await openGateway([plain]);
  const long = `GET /look/a HTTP/1.1\r\nX-Long: ${'x'.repeat(80_000)}\r\n\r\n`;
  const answers = [
    await sendBytes(gateway.port, 'no request\r\n\r\n'),
    await sendBytes(gateway.port, long),
  ];
  const logged = logLines
    .filter(({event}) => event === LogEvent.Unreadable)
    .map(({cause, status}) => ({cause, status}));
  expect({
    answers: answers.map(answer => answer.split('\r\n')[0]),
    logged,
  }).toMatchInlineSnapshot(`
    {
      "answers": [
        "HTTP/1.1 400 Bad Request",
        "HTTP/1.1 431 Request Header Fields Too Large",
      ],
      "logged": [
        {
          "cause": "HPE_INVALID_METHOD",
          "status": 400,
        },
        {
          "cause": "HPE_HEADER_OVERFLOW",
          "status": 431,
        },
      ],
    }
  `);
});

test('invalid bytes after a running request get no answer in its place', async () => {
  const plain = await openUpstream('plain', 'i-1', ({id, socket}) => {
    setTimeout(() => {
      socket.write(`${successHead(id, 'Content-Length: 2\r\n')}ok`);
    }, 300);
  });
  const {gateway, logLines} = await openGateway([plain]);
  const validRequest =
    'POST /order/a HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: r1\r\n' +
    'Authorization: Bearer key-one\r\nContent-Length: 0\r\n\r\n';
  const answer = await sendBytes(
    gateway.port,
    `${validRequest}no request\r\n\r\n`,
  );
  expect(answer).toBe('');
  expect(logLines).toContainEqual(
    expect.objectContaining({event: LogEvent.Unreadable, inflight: 1}),
  );
});

test('a request that crosses the time-out of its connection is not sent', async () => {
  const plain = await openUpstream('plain', 'i-1', answerWith('hello'));
  const {gateway, logLines} = await openGateway([plain]);
  const socket = connect(gateway.port, LOOPBACK);
  const [bytes] = (await once(socket, 'data')) as [Buffer];
  socket.write(
    'POST /order/a HTTP/1.1\r\nhost: shop.example\r\nx-request-id: r1\r\n' +
      'authorization: Bearer key-one\r\ncontent-length: 0\r\n\r\n',
  );
  const ended = () => logLines.findLast(({event}) => event === LogEvent.Ended);
  await vi.waitFor(() => expect(ended()).toMatchObject({outcome: 'gone'}));
  // The 408 tells the caller that its request has not run and never will.
  expect([bytes.toString().split('\r\n')[0], plain.raw.received]).toEqual([
    'HTTP/1.1 408 Request Timeout',
    [],
  ]);
  socket.destroy();
});
