import {afterEach, describe, expect, test, vi} from 'vitest';
import {Topic} from '../src/registry/index.js';
import {LogEvent} from '../src/telemetry/index.js';
import {successHead} from './support/gateway.js';
import {
  byId,
  closeAll,
  configurationOf,
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
  plainAnswer,
  refuse,
  reset,
  sleep,
  streamOf,
  type Answer,
  type SilentUpstream,
  type UpstreamGroup,
} from './support/silentupstream.js';

/** Longer than an upstream of streams may be silent without a probe. */
const STREAM_SILENCE_MS = 1_800;
const PLAIN_SILENCE_MS = 1_200;
const EVENTS = 6;
const WHOLE_STREAM = eventsOf(1, EVENTS);
const BODY = 'the whole body';

afterEach(closeAll);

const stream = streamOf({events: EVENTS});

/** Falls silent after three events and goes on. */
const silentStream = streamOf({
  events: EVENTS,
  afterEvent: (event, _request, upstream) => {
    if (event === 3) upstream.fallSilent(STREAM_SILENCE_MS);
  },
});

/** Falls silent before the head of the answer and goes on. */
function silentBefore(answer: Answer, ms: number): Answer {
  return (request, upstream) => {
    upstream.fallSilent(ms);
    return answer(request, upstream);
  };
}

describe('a stream whose upstream falls silent and goes on', () => {
  test('is not cut when the retry budget is spent', async () => {
    const engines = await open(
      'engine',
      2,
      byId({other: reset}, silentStream),
      stream,
    );
    const gateway = await openGateway([engines]);
    expectWhole(await sendStream(gateway, 'other'), WHOLE_STREAM);
    expect(engines.arrivals('other')).toHaveLength(2);
    expectWhole(await sendStream(gateway, 'r1'), WHOLE_STREAM);
  });

  test('is not cut when many are on that upstream', async () => {
    // Silences for each of them would add up beyond their deadlines.
    const silenced = new Set<SilentUpstream>();
    const silentOnce = streamOf({
      events: EVENTS,
      afterEvent: (event, _request, upstream) => {
        if (event !== 3 || silenced.has(upstream)) return;
        silenced.add(upstream);
        upstream.fallSilent(STREAM_SILENCE_MS);
      },
    });
    const engines = await open('engine', 2, silentOnce, stream);
    const gateway = await openGateway([engines]);
    const ids = ['r1', 'r2', 'r3', 'r4'];
    const responses = await Promise.all(ids.map(id => sendStream(gateway, id)));
    expect(responses.map(response => response?.body)).toEqual(
      ids.map(() => WHOLE_STREAM),
    );
    for (const response of responses) expectWhole(response, WHOLE_STREAM);
  });

  test('is not cut when its service has no other upstream', async () => {
    const engines = await open('engine', 1, silentStream);
    const gateway = await openGateway([engines]);
    expectWhole(await sendStream(gateway, 'r1'), WHOLE_STREAM);
  });

  test('is not cut when the only other upstream refuses it', async () => {
    const engines = await open('engine', 2, silentStream, refuse);
    const gateway = await openGateway([engines]);
    expectWhole(await sendStream(gateway, 'r1'), WHOLE_STREAM);
  });

  test('is not cut when the only other upstream is silent for the same time', async () => {
    const engines: UpstreamGroup = await open(
      'engine',
      2,
      streamOf({
        events: EVENTS,
        afterEvent: event => {
          if (event !== 3) return;
          for (const upstream of engines.members) {
            upstream.fallSilent(STREAM_SILENCE_MS);
          }
        },
      }),
      stream,
    );
    const gateway = await openGateway([engines]);
    expectWhole(await sendStream(gateway, 'r1'), WHOLE_STREAM);
  });

  test('is not cut when the attempts of its route are used up', async () => {
    const cut = streamOf({
      events: EVENTS,
      afterEvent: (_event, {socket}) => {
        socket.resetAndDestroy();
        return false;
      },
    });
    const engines = await open('engine', 3, cut, silentStream, refuse);
    const gateway = await openGateway([engines], 2);
    expectWhole(await sendStream(gateway, 'r1'), WHOLE_STREAM);
    expect(engines.arrivals('r1').length).toBeGreaterThan(1);
  });

  test('is not cut when the upstream that is to continue it falls silent, too', async () => {
    const engines = await open(
      'engine',
      2,
      silentStream,
      silentBefore(stream, STREAM_SILENCE_MS),
    );
    const gateway = await openGateway([engines]);
    expectWhole(await sendStream(gateway, 'r1'), WHOLE_STREAM);
  });

  test('is not cut when the upstream that is to continue it crashes', async () => {
    const crash: Answer = async (request, upstream) => {
      await upstream.send(request, successHead(request.id, EVENT_STREAM));
      await sleep(20);
      upstream.raw.close();
    };
    const engines = await open('engine', 2, silentStream, crash);
    const gateway = await openGateway([engines]);
    expectWhole(await sendStream(gateway, 'r1'), WHOLE_STREAM);
  });

  test('is not cut when its events have no ids', async () => {
    const withoutIds = streamOf({
      events: EVENTS,
      hasIds: false,
      afterEvent: (event, _request, upstream) => {
        if (event === 3) upstream.fallSilent(STREAM_SILENCE_MS);
      },
    });
    const engines = await open('engine', 2, withoutIds);
    const gateway = await openGateway([engines]);
    const response = await sendStream(gateway, 'r1');
    expectWhole(response, eventsOf(1, EVENTS, false));
  });

  test('continues elsewhere in time, with each event once', async () => {
    const events = 24;
    const silentLong = streamOf({
      events,
      afterEvent: (event, _request, upstream) => {
        if (event === 3) upstream.fallSilent(2_000);
      },
    });
    let continuedAt = 0;
    const goOn = streamOf({
      events,
      periodMs: 50,
      afterEvent: () => {
        continuedAt ||= performance.now();
      },
    });
    const engines = await open('engine', 2, silentLong, goOn);
    const gateway = await openGateway([engines]);
    const sentAt = performance.now();
    const response = sendStream(gateway, 'r1');
    await vi.waitFor(() => expect(continuedAt).toBeGreaterThan(0), {
      timeout: PATIENCE_MS,
    });
    expect(continuedAt - sentAt).toBeLessThan(2_000);
    const [silent] = engines.arrivals('r1');
    await vi.waitFor(() => expect(silent?.socket.destroyed).toBe(true));
    expectWhole(await response, eventsOf(1, events));
    expect(engines.arrivals('r1')).toHaveLength(2);
  });
});

describe('a plain answer whose upstream falls silent and goes on', () => {
  const silent = silentBefore(plainAnswer(BODY), PLAIN_SILENCE_MS);

  test('is not cut when a part of it was passed on', async () => {
    const body = 'x'.repeat(400_000);
    const length = `Content-Length: ${body.length}\r\n`;
    const large: Answer = async (request, upstream) => {
      const part = body.slice(0, 300_000);
      await upstream.send(request, successHead(request.id, length) + part);
      await sleep(20);
      upstream.fallSilent(PLAIN_SILENCE_MS);
      await upstream.send(request, body.slice(part.length));
    };
    const plain = await open('plain', 2, large);
    const gateway = await openGateway([plain]);
    const response = await sendPlain(gateway, '/look/a', 'r1');
    expect([response?.complete, response?.body.length]).toEqual([
      true,
      body.length,
    ]);
  });

  test('is not given up when its service has no other upstream', async () => {
    const plain = await open('plain', 1, silent);
    const gateway = await openGateway([plain]);
    expectWhole(await sendPlain(gateway, '/look/a', 'r1'), BODY);
  });

  test('is not given up when the only other upstream refuses the request', async () => {
    const plain = await open('plain', 2, silent, refuse);
    const gateway = await openGateway([plain]);
    expectWhole(await sendPlain(gateway, '/look/a', 'r1'), BODY);
  });

  test('is not given up when the retry budget is spent', async () => {
    const plain = await open(
      'plain',
      2,
      byId({other: reset}, silent),
      plainAnswer(BODY),
    );
    const gateway = await openGateway([plain]);
    expectWhole(await sendPlain(gateway, '/look/a', 'other'), BODY);
    expect(plain.arrivals('other')).toHaveLength(2);
    expectWhole(await sendPlain(gateway, '/look/a', 'r1'), BODY);
  });
});

test('a change of the configuration while upstreams are silent cuts nothing', async () => {
  const engines = await open('engine', 1, silentStream);
  const silent = silentBefore(plainAnswer(BODY), PLAIN_SILENCE_MS);
  const plain = await open('plain', 1, silent);
  const gateway = await openGateway([engines, plain]);
  const responses = Promise.all([
    sendStream(gateway, 'r1'),
    sendPlain(gateway, '/look/a', 'r2'),
    sendPlain(gateway, '/order/a', 'r3'),
  ]);
  await sleep(250);
  gateway.feed.add(Topic.Configuration, 'config', configurationOf(3));
  await vi.waitFor(() =>
    expect(gateway.logLines).toContainEqual(
      expect.objectContaining({event: LogEvent.Configuration, version: 3}),
    ),
  );
  const [streamed, repeatable, once] = await responses;
  expectWhole(once, BODY);
  expectWhole(repeatable, BODY);
  expectWhole(streamed, WHOLE_STREAM);
});
