import {afterEach, describe, expect, test} from 'vitest';
import {LogEvent} from '../src/telemetry/index.js';
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
  eventsOf,
  plainAnswer,
  sleep,
  streamOf,
  type Answer,
} from './support/silentupstream.js';

const EVENTS = 6;
const WHOLE_STREAM = eventsOf(1, EVENTS);
const BODY = 'the whole body';
/** Answers after which the start of another can be judged. */
const KNOWN_STARTS = 30;

const stream = streamOf({events: EVENTS});
/** Its connection carries nothing anymore, while others do. */
const never: Answer = () => Promise.resolve();

afterEach(closeAll);

const earlier = Array.from({length: KNOWN_STARTS}, (_, n) => `earlier-${n}`);

function answersOf(answer: Answer): Record<string, Answer> {
  return Object.fromEntries(earlier.map(id => [id, answer]));
}

/** Begins a stream late, as a busy engine does. */
function startingAfter(ms: number): Answer {
  return async (request, upstream) => {
    await sleep(ms);
    await stream(request, upstream);
  };
}

// Upstreams answer probes meanwhile, on connections of their own.
describe('a request whose connection is lost while its upstream is alive', () => {
  test('is streamed by another upstream long before its deadline', async () => {
    const others = answersOf(stream);
    const engines = await open('engine', 2, byId(others, never), stream);
    const gateway = await openGateway([engines]);
    for (const id of earlier) await sendStream(gateway, id);
    const sentAt = performance.now();
    expectWhole(await sendStream(gateway, 'r1'), WHOLE_STREAM);
    expect(performance.now() - sentAt).toBeLessThan(PATIENCE_MS / 2);
    expect(engines.arrivals('r1')).toHaveLength(2);
    // One lost connection doesn't take an upstream out of use.
    expect(gateway.logLines).not.toContainEqual(
      expect.objectContaining({event: LogEvent.Health}),
    );
  });

  test('is answered by another upstream although the first one answers others', async () => {
    const slowly: Answer = async (request, upstream) => {
      await sleep(100);
      await plainAnswer(BODY)(request, upstream);
    };
    const plain = await open('plain', 2, byId({r1: never}, slowly), slowly);
    const gateway = await openGateway([plain]);
    await Promise.all(earlier.map(id => sendPlain(gateway, '/look/a', id)));
    const sentAt = performance.now();
    const lost = sendPlain(gateway, '/look/a', 'r1');
    let later = 0;
    const goOn = setInterval(() => {
      void sendPlain(gateway, '/look/a', `later-${later++}`);
    }, 20);
    const response = await lost;
    clearInterval(goOn);
    expectWhole(response, BODY);
    expect(performance.now() - sentAt).toBeLessThan(PATIENCE_MS / 2);
  });

  test('leaves its upstream in use, unless that is silent altogether', async () => {
    const dead: Answer = (_request, upstream) => {
      upstream.fallSilent(PATIENCE_MS);
      return Promise.resolve();
    };
    const first = byId(answersOf(plainAnswer(BODY)), dead);
    const plain = await open('plain', 2, first, plainAnswer(BODY));
    const gateway = await openGateway([plain]);
    for (const id of earlier) await sendPlain(gateway, '/look/a', id);
    expectWhole(await sendPlain(gateway, '/look/a', 'r1'), BODY);
    expect(gateway.logLines).toContainEqual(
      expect.objectContaining({event: LogEvent.Health, silent: true}),
    );
  });

  test('that may run only once is sent once', async () => {
    const others = answersOf(plainAnswer(BODY));
    const plain = await open(
      'plain',
      2,
      byId(others, never),
      plainAnswer(BODY),
    );
    const gateway = await openGateway([plain]);
    for (const id of earlier) await sendPlain(gateway, '/look/a', id);
    const response = await sendPlain(gateway, '/order/a', 'r1');
    expect(response?.status).toBe(504);
    expect(plain.arrivals('r1')).toHaveLength(1);
  });
});

describe('a request at a busy upstream', () => {
  test('stays there while others wait as long', async () => {
    const others = answersOf(startingAfter(900));
    const engines = await open(
      'engine',
      2,
      byId(others, startingAfter(1_500)),
      stream,
    );
    const gateway = await openGateway([engines]);
    await Promise.all(earlier.map(id => sendStream(gateway, id)));
    expectWhole(await sendStream(gateway, 'r1'), WHOLE_STREAM);
    expect(engines.arrivals('r1')).toHaveLength(1);
  });

  test('stays there while too little is known of other answers', async () => {
    const late = startingAfter(1_500);
    const engines = await open('engine', 2, late, stream);
    const gateway = await openGateway([engines]);
    expectWhole(await sendStream(gateway, 'r1'), WHOLE_STREAM);
    expect(engines.arrivals('r1')).toHaveLength(1);
  });
});
