import {afterEach, expect, test, vi} from 'vitest';
import xxhash from 'xxhash-wasm';
import {encodeHold} from '../src/fleet/evidencemessage.js';
import {HoldState, type Hold} from '../src/quarantine/index.js';
import {Topic} from '../src/registry/index.js';
import {LogEvent} from '../src/telemetry/index.js';
import {
  call,
  openTestFeed,
  startGatewayOn,
  wireConfiguration,
} from './support/gateway.js';
import {openGroup, streamOf} from './support/silentupstream.js';

const PATIENCE_MS = 6_000;
const SILENCE_MS = 2_500;
const EVENTS = 4;

const closers: Array<() => Promise<void> | void> = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
});

test('a held request at a silent upstream is logged once', async () => {
  const group = await openGroup(
    'engine',
    2,
    streamOf({
      events: EVENTS,
      afterEvent: (event, _request, upstream) => {
        if (event === 2) upstream.fallSilent(SILENCE_MS);
      },
    }),
  );
  closers.push(() => group.close());
  const feed = openTestFeed(group.entries);
  const configuration = wireConfiguration(2, PATIENCE_MS);
  feed.add(Topic.Configuration, 'config', configuration);
  const {gateway, logLines} = await startGatewayOn(feed, 300);
  closers.push(() => gateway.stop());
  const linesOf = (event: LogEvent) =>
    logLines.filter(line => line['event'] === event);
  const response = call(gateway.port, '/chat/a', 'r1', {
    method: 'POST',
    headers: {
      'x-deadline-ms': `${PATIENCE_MS}`,
      'x-model': 'm',
      'x-token-counts': '10,10',
      'x-prompt-prefix': 'bad:5,own:5',
    },
  });
  await vi.waitFor(() => expect(group.arrivals('r1')).toHaveLength(1));
  // An operator's hold isn't ended by an answer.
  const hold: Hold = {
    type: 'hold',
    part: 'bad',
    state: HoldState.Held,
    revision: 1,
    crashes: 0,
    decidedAt: Date.now(),
  };
  const hasher = await xxhash();
  const value: unknown = JSON.parse(encodeHold(hold).toString('utf8'));
  feed.add(Topic.Instances, `hold/${hasher.h64ToString('bad')}`, value);
  await vi.waitFor(() => expect(linesOf(LogEvent.Hold)).toHaveLength(1), 3_000);
  expect((await response)?.complete).toBe(true);
  expect(linesOf(LogEvent.Silent)).not.toHaveLength(0);
  expect(linesOf(LogEvent.Held)).toHaveLength(1);
  expect(group.arrivals('r1')).toHaveLength(1);
});
