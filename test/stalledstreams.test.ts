import {afterEach, expect, test} from 'vitest';
import {successHead} from './support/gateway.js';
import {
  closeAll,
  expectWhole,
  open,
  openGateway,
  sendStream,
} from './support/silencegateway.js';
import {
  EVENT_STREAM,
  eventsOf,
  sleep,
  streamOf,
  type Answer,
} from './support/silentupstream.js';

const DEADLINE_MS = 1_500;
/** Time after its deadline in which a request has ended, in ms. */
const SLACK_MS = 500;
const BYTE_PERIOD_MS = 150;

afterEach(closeAll);

function stalledAfter(events: number, byte: string): Answer {
  return async (request, upstream) => {
    const begun = eventsOf(1, events);
    const chunk = `${begun.length.toString(16)}\r\n${begun}\r\n`;
    await upstream.send(request, successHead(request.id, EVENT_STREAM) + chunk);
    while (!request.socket.destroyed) {
      await sleep(BYTE_PERIOD_MS);
      await upstream.send(request, `1\r\n${byte}\r\n`);
    }
  };
}

// A stream that stood still kept its caller waiting without end.
test.each([
  {bytes: 'comments', byte: ':'},
  {bytes: 'parts of an event', byte: 'd'},
])(
  'a stalled stream that sends $bytes now and then ends in time',
  async ({byte}) => {
    const engines = await open('engine', 1, stalledAfter(2, byte));
    const gateway = await openGateway([engines]);
    const sentAt = performance.now();
    const response = await sendStream(gateway, 'r1', DEADLINE_MS);
    expect(performance.now() - sentAt).toBeLessThan(DEADLINE_MS + SLACK_MS);
    expect(response?.complete).toBe(false);
    // The upstream is told to stop, too.
    await sleep(BYTE_PERIOD_MS);
    expect(engines.arrivals('r1')[0]?.socket.destroyed).toBe(true);
  },
);

test('a slow but sound stream beside a stalled one is whole', async () => {
  const slow = streamOf({events: 4, periodMs: 1_000});
  const stalled = stalledAfter(2, ':');
  const answer: Answer = (request, upstream) =>
    (request.id === 'slow' ? slow : stalled)(request, upstream);
  const engines = await open('engine', 2, answer);
  const gateway = await openGateway([engines]);
  void sendStream(gateway, 'stalled', DEADLINE_MS);
  expectWhole(await sendStream(gateway, 'slow'), eventsOf(1, 4));
  expect(engines.arrivals('slow')).toHaveLength(1);
});
