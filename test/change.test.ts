import {once} from 'node:events';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, expect, test, vi} from 'vitest';
import {Topic} from '../src/registry/index.js';
import {LOOPBACK} from '../stand-ins/loopback.js';
import {
  call,
  startTestGateway,
  RawUpstream,
  successHead,
  wireConfiguration,
  wireEntry,
  type RawRequest,
  type TestGateway,
} from './support/gateway.js';

const upstreams: RawUpstream[] = [];
const gateways: TestGateway[] = [];

afterEach(async () => {
  for (const upstream of upstreams.splice(0)) upstream.close();
  await Promise.all(gateways.splice(0).map(({gateway}) => gateway.stop()));
});

const events = (from: number, to: number) =>
  Array.from(
    {length: to - from + 1},
    (_, index) => `id: ${from + index}\ndata: x\n\n`,
  ).join('');

/** A log line that tells that a change is in force. */
const IN_FORCE = /in force|removed from|is draining|is registered/;

/** Begins streams at once; ends all answers once `released` resolves. */
function answerOnce(released: Promise<void>) {
  return ({id, socket, text}: RawRequest) => {
    if (text.includes(' /chat/')) {
      const whole = events(1, 4);
      const more =
        'Content-Type: text/event-stream\r\n' +
        `Content-Length: ${whole.length}\r\n`;
      socket.write(successHead(id, more) + events(1, 2));
      void released.then(() => socket.write(events(3, 4)));
    } else {
      const end = `${successHead(id, 'Content-Length: 2\r\n')}ok`;
      // A probe has no id.
      if (id === '') socket.write(end);
      else void released.then(() => socket.write(end));
    }
  };
}

type Configuration = ReturnType<typeof wireConfiguration>;

const ENTRIES = [
  {service: 'plain', id: 'p-1'},
  {service: 'engine', id: 'e-1'},
];

/** Time after which the store's removal of an entry takes effect at once. */
const REMOVAL_MS = 3_200;

interface Change {
  name: string;
  /** Time to wait before the requests are sent, in ms. */
  startMs?: number;
  apply: (feed: TestGateway['feed'], port: number) => void;
}

const CHANGES: Change[] = [
  {
    name: 'that takes away routes, keys and services',
    apply: configure(known => ({
      ...known,
      routes: [],
      services: [],
      tenants: [],
    })),
  },
  {
    name: 'that lowers the limits',
    apply: configure(known => ({
      ...known,
      limits: {
        maxHeaderBytes: 10,
        maxBodyBytes: 1,
        headerTimeoutMs: 100,
        idleTimeoutMs: 50,
      },
    })),
  },
  {
    name: 'that lowers the time-outs of routes',
    apply: configure(known => ({
      ...known,
      routes: known.routes.map(route => ({...route, timeoutMs: 50})),
    })),
  },
  {
    name: 'that moves the routes to another service',
    apply: configure(known => ({
      ...known,
      routes: known.routes.map(route => ({...route, service: 'other'})),
    })),
  },
  {
    name: 'that removes the entries of all upstreams',
    startMs: REMOVAL_MS,
    apply: feed => {
      for (const {id} of ENTRIES) feed.add(Topic.Upstreams, id, undefined);
    },
  },
  {
    name: 'that drains all upstreams',
    apply: (feed, port) => {
      for (const {service, id} of ENTRIES) {
        const entry = {...wireEntry(service, port, 2), state: 'draining'};
        feed.add(Topic.Upstreams, id, entry);
      }
    },
  },
  {
    name: 'that gives the ids of all upstreams to other processes',
    apply: feed => {
      for (const {service, id} of ENTRIES) {
        const entry = {...wireEntry(service, 1), born: 2e12};
        feed.add(Topic.Upstreams, id, entry);
      }
    },
  },
];

/** A change to what `next` makes of the configuration in force. */
function configure(next: (known: Configuration) => object) {
  return (feed: TestGateway['feed']) =>
    feed.add(Topic.Configuration, 'config', next(wireConfiguration(2)));
}

test.each(CHANGES)(
  'requests in progress are answered whole beside a change $name',
  async ({startMs = 0, apply}) => {
    let release = () => {};
    const released = new Promise<void>(resolve => {
      release = resolve;
    });
    const raw = new RawUpstream(answerOnce(released));
    upstreams.push(raw);
    const port = await raw.listen();
    const started = await startTestGateway(
      ENTRIES.map(entry => ({...entry, port})),
      300,
    );
    gateways.push(started);
    const {gateway, feed, logLines} = started;
    await sleep(startMs);
    const callerOfHalf = connect(gateway.port, LOOPBACK);
    await once(callerOfHalf, 'connect');
    callerOfHalf.write(
      'POST /order/a HTTP/1.1\r\nhost: shop.example\r\nx-request-id: r0\r\n' +
        'authorization: Bearer key-one\r\ncontent-length: 4\r\n\r\nha',
    );
    const send = (path: string, id: string) =>
      call(gateway.port, path, id, {method: 'POST'});
    const running = [
      ...['r1', 'r2', 'r3', 'r4'].map(id => send('/order/a', id)),
      ...['r5', 'r6'].map(id => send('/chat/a', id)),
    ];
    await vi.waitFor(() =>
      expect(raw.received.filter(({id}) => id !== '')).toHaveLength(6),
    );
    // They wait, since the upstream has four slots.
    const waiting = ['r7', 'r8'].map(id => send('/order/a', id));
    await sleep(50);
    const linesInForce = () =>
      logLines.filter(({msg}) => IN_FORCE.test(String(msg))).length;
    const known = linesInForce();
    apply(feed, port);
    await vi.waitFor(() => expect(linesInForce()).toBeGreaterThan(known));
    const answerToHalf = once(callerOfHalf, 'data') as Promise<[Buffer]>;
    callerOfHalf.write('lf');
    release();
    const bodies = await Promise.all(running);
    const stream = events(1, 4);
    expect(bodies.map(response => response?.body)).toEqual([
      ...['ok', 'ok', 'ok', 'ok'],
      ...[stream, stream],
    ]);
    // An upstream may be left for them, or not.
    for (const response of await Promise.all(waiting)) {
      expect(response?.complete).toBe(true);
      expect([200, 503]).toContain(response?.status);
    }
    const [bytes] = await answerToHalf;
    expect(bytes.toString()).toMatch(/^HTTP\/1.1 (200|503) /);
    callerOfHalf.destroy();
  },
);
