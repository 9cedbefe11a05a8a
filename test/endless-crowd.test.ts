import {afterEach, describe, expect, test} from 'vitest';
import {LogEvent} from '../src/telemetry/index.js';
import {
  CHUNKED,
  closeAll,
  failureHead,
  flood,
  floods,
  KIBIBYTE_CHUNK,
  openUpstream,
  PROMPT,
  REFUSAL,
  startOn,
  startWith,
  STATUS,
  STREAM,
  untilClosed,
  type EndlessAnswer,
} from './support/endless.js';
import {MemorySampler} from './support/flood.js';
import {call, successHead, type TestGateway} from './support/gateway.js';

afterEach(closeAll);

/** Number of endless answers at once. */
const CROWD = 200;
/** Most memory that they may take together, in bytes. */
const CROWD_BYTES = 128 * 1024 * 1024;

describe('many answers at once', () => {
  test.each<EndlessAnswer>([
    {
      name: 'an endless failure',
      start: id => failureHead(id, CHUNKED),
      unit: KIBIBYTE_CHUNK,
    },
    {
      name: 'an endless refusal',
      start: () => `${REFUSAL}${CHUNKED}\r\n`,
      unit: KIBIBYTE_CHUNK,
    },
    {
      name: 'an endless event',
      start: id => successHead(id, STREAM + CHUNKED),
      unit: KIBIBYTE_CHUNK,
    },
    {
      name: 'endless spaces in a header',
      start: () => `${STATUS}x:`,
      unit: ' ',
    },
  ])('with $name leave memory and others alone', async answer => {
    const ids = Array.from({length: 50}, (_, index) => `i-${index}`);
    const {gateway} = await startOn([
      ...(await Promise.all(
        ids.map(id => openUpstream('engine', id, flood(answer))),
      )),
      await openUpstream('plain', 'sound', ({id, socket}) =>
        socket.write(`${successHead(id, 'Content-Length: 2\r\n')}ok`),
      ),
    ]);
    const sampler = new MemorySampler();
    const crowd = Array.from({length: CROWD}, (_, index) =>
      call(gateway.port, '/chat/a', `r${index}`, {
        method: 'POST',
        headers: PROMPT,
      }),
    );
    const others = await Promise.all(
      Array.from({length: 20}, (_, index) =>
        call(gateway.port, '/order/a', `o${index}`, {method: 'POST'}),
      ),
    );
    const responses = await Promise.all(crowd);
    await untilClosed();
    expect(sampler.end()).toBeLessThan(CROWD_BYTES);
    expect(others.map(response => response?.body)).toEqual(
      others.map(() => 'ok'),
    );
    expect(floods.length).toBeGreaterThanOrEqual(CROWD);
    const looksWhole = responses.filter(
      response => response?.status === 200 && response.complete,
    );
    expect(looksWhole).toEqual([]);
  });
});

/** Log lines that tell of an ejection. */
const ejections = ({logLines}: TestGateway) =>
  logLines.filter(({event}) => event === LogEvent.Health);

test('upstreams that send endless answers are ejected', async () => {
  const started = await startWith(
    'plain',
    flood({
      name: 'an endless failure',
      start: id => failureHead(id, CHUNKED),
      unit: KIBIBYTE_CHUNK,
    }),
  );
  for (const id of ['r1', 'r2', 'r3']) {
    await call(started.gateway.port, '/order/a', id, {method: 'POST'});
  }
  expect(ejections(started)).toMatchObject([{upstream: 'i-1', silent: false}]);
});

describe('a silent engine whose answer to a probe is endless', () => {
  test.each<EndlessAnswer>([
    {
      name: 'interim answers',
      start: () => '',
      unit: 'HTTP/1.1 103 Early Hints\r\n\r\n',
    },
    {name: 'spaces in a header', start: () => `${STATUS}x:`, unit: ' '},
    {
      name: 'a body',
      start: () => `${STATUS}${CHUNKED}\r\n`,
      unit: KIBIBYTE_CHUNK,
    },
  ])('$name does not keep the connection', async answer => {
    let probes = 0;
    const {gateway} = await startWith('engine', request => {
      if (!request.text.startsWith('GET /v1/report')) return;
      probes++;
      flood(answer)(request);
    });
    const response = await call(gateway.port, '/chat/a', 'r1', {
      method: 'POST',
      headers: PROMPT,
    });
    expect(probes).toBeGreaterThan(0);
    expect(response?.status).toBeGreaterThanOrEqual(502);
    await untilClosed();
  });
});
