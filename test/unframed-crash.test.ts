import {afterEach, expect, test, vi} from 'vitest';
import {LogEvent} from '../src/telemetry/index.js';
import {
  call,
  startTestGateway,
  RawUpstream,
  successHead,
} from './support/gateway.js';

const closers: Array<() => Promise<void> | void> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
});

/** Time in which the head reaches the gateway before the end, in ms. */
const HEAD_MS = 20;

test.each([
  {framing: 'chunked', more: 'Transfer-Encoding: chunked\r\n'},
  {framing: 'without a length', more: 'Connection: close\r\n'},
])(
  'an upstream that ends in a stream $framing before an event has crashed',
  async ({more}) => {
    const raw: RawUpstream = new RawUpstream(({id, socket}) => {
      if (id === '') return;
      socket.write(
        successHead(id, `Content-Type: text/event-stream\r\n${more}`),
      );
      // The system closes the connections of a process that has ended.
      setTimeout(() => raw.close(), HEAD_MS);
    });
    closers.push(() => raw.close());
    const port = await raw.listen();
    const {gateway, logLines} = await startTestGateway(
      [{service: 'engine', id: 'i-1', port}],
      300,
    );
    closers.push(() => gateway.stop());
    const response = await call(gateway.port, '/chat/a', 'r1', {
      method: 'POST',
      headers: {
        'x-model': 'm',
        'x-token-counts': '10,10',
        'x-prompt-prefix': 'bad:5,own:5',
      },
    });
    await vi.waitFor(
      () =>
        expect(
          logLines.filter(line => line['event'] === LogEvent.Crash),
        ).toHaveLength(1),
      2_000,
    );
    expect(response?.complete === true && response.status === 200).toBe(false);
  },
);
