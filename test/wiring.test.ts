import {createSocket} from 'node:dgram';
import {pino} from 'pino';
import {expect, test, vi} from 'vitest';
import {announce} from '../src/fleet/index.js';
import {Credential} from '../src/instance/credential.js';
import {DatagramPort} from '../src/instance/datagram.js';
import {StoreEpoch, Topic} from '../src/registry/index.js';
import {ManualTimer} from '../src/timer/index.js';
import {DrainSchedule} from '../src/wiring/drainschedule.js';
import {watchStalls} from '../src/wiring/stall.js';
import {LOOPBACK} from '../stand-ins/loopback.js';
import {MemoryFeed} from './support/gateway.js';

const silent = pino({level: 'silent'});

test('a draining instance accepts requests that end before the deadline', () => {
  const schedule = new DrainSchedule(1_000, 8_000);
  const table = [0, 2_400, 2_600, 6_000].map(sinceMs => ({
    sinceMs,
    getsConnections: schedule.mayReceiveConnections(1_000 + sinceMs),
    short: schedule.admits(1_000, 1_000 + sinceMs),
    long: schedule.admits(10_000, 1_000 + sinceMs),
  }));
  expect(table).toMatchInlineSnapshot(`
    [
      {
        "getsConnections": true,
        "long": true,
        "short": true,
        "sinceMs": 0,
      },
      {
        "getsConnections": true,
        "long": true,
        "short": true,
        "sinceMs": 2400,
      },
      {
        "getsConnections": false,
        "long": false,
        "short": true,
        "sinceMs": 2600,
      },
      {
        "getsConnections": false,
        "long": false,
        "short": true,
        "sinceMs": 6000,
      },
    ]
  `);
});

test('an instance announces itself once its gossip port is free', async () => {
  const holder = createSocket('udp4');
  await new Promise<void>(resolve => holder.bind(0, LOOPBACK, resolve));
  const {port} = holder.address();
  const timer = new ManualTimer();
  const datagrams = new DatagramPort(new Credential([]), timer);
  const feed = new MemoryFeed();
  void announce({
    name: 'entry-1',
    address: {host: LOOPBACK, zone: 'zone-a'},
    openPort: async () =>
      (await datagrams.bind(LOOPBACK, port)) ? port : undefined,
    feed,
    epochs: new StoreEpoch(silent, timer),
    timer,
    logger: silent,
    random: () => 0.5,
    isLeaving: () => false,
  });
  const records = feed.records[Topic.Instances];
  await new Promise(resolve => setTimeout(resolve, 100));
  expect(records).toEqual([]);
  await new Promise<void>(resolve => holder.close(() => resolve()));
  await timer.advance(1_100);
  await vi.waitFor(() => expect(records).toHaveLength(1));
  datagrams.close();
});

test('a stall is detected by either clock', async () => {
  const timer = new ManualTimer();
  const listener = {checked: vi.fn(), resumed: vi.fn()};
  const watch = watchStalls(timer, silent, listener);
  await timer.advance(1_000);
  expect(listener.resumed).not.toHaveBeenCalled();
  const wall = vi.spyOn(timer, 'wallNow');
  wall.mockReturnValue(timer.wallNow() + 5_000);
  await timer.advance(250);
  expect(listener.resumed).toHaveBeenCalledTimes(1);
  expect(listener.checked).toHaveBeenCalledTimes(5);
  watch.end();
});
