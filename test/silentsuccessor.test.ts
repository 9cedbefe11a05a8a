import {afterEach, describe, expect, test} from 'vitest';
import {LogEvent} from '../src/telemetry/index.js';
import {successHead, type RawRequest} from './support/gateway.js';
import {
  byId,
  closeAll,
  expectWhole,
  open,
  openGateway,
  PATIENCE_MS,
  sendPlain,
  sendStream,
} from './support/silencegateway.js';
import {
  EVENT_STREAM,
  eventsOf,
  sleep,
  streamOf,
  type Answer,
  type SilentUpstream,
} from './support/silentupstream.js';

const EVENTS = 6;
const WHOLE_STREAM = eventsOf(1, EVENTS);
const BODY = 'the whole body';
const stream = streamOf({events: EVENTS});

afterEach(closeAll);

/** Sends events; then silent, also to probes, until `wake` resolves. */
function silentUntil(wake: Promise<void>, goOn: Answer): Answer {
  return async (request, upstream) => {
    const text = eventsOf(1, 3);
    const head = successHead(request.id, EVENT_STREAM);
    const chunk = `${text.length.toString(16)}\r\n${text}\r\n`;
    await upstream.send(request, head + chunk);
    upstream.fallSilent(PATIENCE_MS);
    await wake;
    await goOn(request, upstream);
  };
}

describe('an attempt beside one on a silent upstream', () => {
  test('leaves its upstream to the request if the silent one goes on', async () => {
    let wake: () => void = () => undefined;
    const awake = new Promise<void>(resolve => (wake = resolve));
    const goOnAndCrash: Answer = async ({socket}) => {
      const text = eventsOf(4, 4);
      socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
      await sleep(50);
      socket.resetAndDestroy();
    };
    const accept: Answer = () => {
      wake();
      return Promise.resolve();
    };
    const first = silentUntil(awake, goOnAndCrash);
    const warm = Array.from({length: 30}, (_, index) => `warm-${index}`);
    const others = Object.fromEntries(warm.map(id => [id, stream]));
    const engines = await open(
      'engine',
      2,
      byId(others, first),
      accept,
      stream,
    );
    const gateway = await openGateway([engines]);
    for (const id of warm) await sendStream(gateway, id);
    expectWhole(await sendStream(gateway, 'r1'), WHOLE_STREAM);
    expect(engines.arrivals('r1')).toHaveLength(3);
  }, 20_000);

  test('is not sent if the silent one goes on before the probe ends', async () => {
    const goOn: Answer = async ({socket}) => {
      const text = eventsOf(4, EVENTS);
      socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
      await sleep(600);
      socket.write('0\r\n\r\n');
    };
    const first = (request: RawRequest, upstream: SilentUpstream) =>
      silentUntil(sleep(1_050), goOn)(request, upstream);
    const engines = await open('engine', 2, first, stream);
    const gateway = await openGateway([engines]);
    expectWhole(await sendStream(gateway, 'r1'), WHOLE_STREAM);
    expect(engines.arrivals('r1')).toHaveLength(1);
    expect(gateway.logLines).not.toContainEqual(
      expect.objectContaining({event: LogEvent.Health}),
    );
  });

  test('begins no answer at the deadline', async () => {
    const silent: Answer = (_request, upstream) => {
      upstream.fallSilent(PATIENCE_MS);
      return Promise.resolve();
    };
    const headOnly: Answer = (request, upstream) =>
      upstream.send(request, successHead(request.id, EVENT_STREAM));
    const engines = await open('engine', 2, silent, headOnly);
    const gateway = await openGateway([engines]);
    const response = await sendStream(gateway, 'r1', 1_500);
    expect(response?.status).toBe(504);
    expect(engines.arrivals('r1')).toHaveLength(2);
  });

  test('ends when the silent one begins a plain answer', async () => {
    let wake: () => void = () => undefined;
    const awake = new Promise<void>(resolve => (wake = resolve));
    const slowBody: Answer = async request => {
      await awake;
      const length = `Content-Length: ${BODY.length}\r\n`;
      request.socket.write(successHead(request.id, length) + BODY.slice(0, 4));
      await sleep(500);
      request.socket.write(BODY.slice(4));
    };
    const crash: Answer = async ({socket}) => {
      wake();
      await sleep(400);
      socket.resetAndDestroy();
    };
    const plain = await open('plain', 2, slowBody, crash);
    const gateway = await openGateway([plain]);
    expectWhole(await sendPlain(gateway, '/look/a', 'r1'), BODY);
    expect(plain.arrivals('r1')).toHaveLength(2);
  });

  test('ends when the silent one goes on within a plain answer', async () => {
    const fallSilentWithin: Answer = async ({socket, id}) => {
      const length = `Content-Length: ${BODY.length}\r\n`;
      socket.write(successHead(id, length) + BODY.slice(0, 4));
      for (const [at, ms] of [
        [4, 450],
        [5, 150],
        [6, 350],
      ] as const) {
        await sleep(ms);
        socket.write(BODY.slice(at, at === 6 ? undefined : at + 1));
      }
    };
    const crash: Answer = async ({socket}) => {
      await sleep(400);
      socket.resetAndDestroy();
    };
    const plain = await open('plain', 2, fallSilentWithin, crash);
    const gateway = await openGateway([plain]);
    expectWhole(await sendPlain(gateway, '/look/a', 'r1'), BODY);
  });
});
