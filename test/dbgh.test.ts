import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {BODY_LIMIT_BYTES, BoundedInstance} from './support/boundedinstance.js';
import {
  HostileClients,
  USUAL_HEADERS,
  type HostileTraffic,
} from './support/hostileclients.js';
import {sleep} from './support/silentupstream.js';

/** Time for which the clients send, in ms. */
const CROWD_MS = 4_000;
const POST = `POST /order/a HTTP/1.1\r\n${USUAL_HEADERS}`;
const CHUNKED = `${POST}Transfer-Encoding: chunked\r\n\r\n`;
const MEBIBYTE = 1024 * 1024;

const LARGE_CHUNK = `8000\r\n${'x'.repeat(0x8000)}\r\n`;
const SMALL_CHUNK = '1\r\nx\r\n';

/** A crowd of clients, each with a connection of its own. */
interface Crowd extends HostileTraffic {
  name: string;
  count: number;
}

const CROWDS: Crowd[] = [
  {
    name: 'bodies in large chunks that stop just short of their end',
    count: 40,
    start: CHUNKED,
    unit: LARGE_CHUNK,
    limitBytes: BODY_LIMIT_BYTES,
    reads: true,
  },
  {
    name: 'bodies in chunks of one byte that do not end',
    count: 8,
    start: CHUNKED,
    unit: SMALL_CHUNK,
    limitBytes: BODY_LIMIT_BYTES * 4,
    reads: true,
  },
  {
    name: 'requests ahead whose answers are not read',
    count: 20,
    start: '',
    unit: `GET /look/a HTTP/1.1\r\n${USUAL_HEADERS}\r\n`,
    reads: false,
  },
  {
    name: 'requests ahead without a key, whose answers are not read',
    count: 20,
    start: '',
    unit: 'GET /look/a HTTP/1.1\r\nHost: shop.example\r\n\r\n',
    reads: false,
  },
  {
    name: 'requests ahead without a host, whose answers are not read',
    count: 20,
    start: '',
    unit: 'GET / HTTP/1.1\r\n\r\n',
    reads: false,
  },
  {
    name: 'requests ahead with long bodies, whose answers are not read',
    count: 40,
    start: '',
    unit: `${POST}Content-Length: ${MEBIBYTE}\r\n\r\n` + 'x'.repeat(MEBIBYTE),
    reads: false,
  },
  {
    name: 'bodies far over the limit that are announced',
    count: 40,
    start: `${POST}Content-Length: ${1024 * MEBIBYTE}\r\n\r\n`,
    unit: 'x',
    limitBytes: 1024 * MEBIBYTE,
    reads: true,
  },
  {
    name: 'bodies far over the limit that are just sent',
    count: 40,
    start: CHUNKED,
    unit: LARGE_CHUNK,
    reads: true,
  },
];

let instance: BoundedInstance;

beforeEach(async () => {
  instance = await BoundedInstance.open();
});

afterEach(() => instance.close());

// Guards against clients that end a process by its memory.
describe('an instance stays within its machine and serves others', () => {
  const cases = CROWDS.map(crowd => [crowd.name, crowd] as const);
  test.each(cases)('beside %s', async (_name, {count, ...traffic}) => {
    const clients = new HostileClients(instance.host, count, traffic);
    await sleep(CROWD_MS);
    const during = await instance.serveOne('during');
    clients.close();
    const afterwards = await instance.serveOne('afterwards');
    console.log(instance.peakMb());
    expect({...instance.usage, during, afterwards}).toEqual({
      lives: true,
      staysInMemory: true,
      staysInDescriptors: true,
      during: 'ok',
      afterwards: 'ok',
    });
  });
});
