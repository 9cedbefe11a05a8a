import {createServer, type Server, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {call} from '../bench/caller.js';
import {
  demoKey,
  Deployment,
  exampleOf,
  withUpstreamUrls,
} from '../bench/deployment.js';
import {CONFIGURATION_STREAM} from '../src/config/index.js';
import {checkSettings} from '../src/instance/index.js';
import {Level, openStderrLogger} from '../src/telemetry/index.js';
import {startRouter, type Router} from '../src/wiring/index.js';
import {startLog, type LogStandIn} from '../stand-ins/index.js';

/** Faulty upstream answers. The value is the prompt and ends the test title. */
enum Defect {
  WrongId = 'answers another request',
  NoEnd = 'ends a stream without its end',
  ShortBody = 'breaks off a body',
}

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

beforeAll(async () => {
  upstream = createServer((message, response) => {
    const chunks: Buffer[] = [];
    message.on('data', (chunk: Buffer) => chunks.push(chunk));
    message.on('end', () => {
      const body = Buffer.concat(chunks).toString();
      const defect = Object.values(Defect).find(name => body.includes(name));
      const id = String(message.headers['x-request-id'] ?? '');
      if (defect === undefined) response.writeHead(404).end();
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
