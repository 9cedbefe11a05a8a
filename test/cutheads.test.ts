import {afterEach, expect, test} from 'vitest';
import {
  call,
  RawUpstream,
  startTestGateway,
  successHead,
  withoutReports,
  type TestGateway,
} from './support/gateway.js';

const STREAM = 'Content-Type: text/event-stream\r\nConnection: close\r\n';

let gateway: TestGateway;
let upstream: RawUpstream;

afterEach(async () => {
  upstream.close();
  await gateway.gateway.stop();
});

/** Places at which an upstream stops in the head of its answer. */
const CUTS: ReadonlyArray<[place: string, cut: (head: string) => string]> = [
  ['in the status line', head => head.slice(0, 9)],
  ['after the status line', head => head.slice(0, head.indexOf('\n') + 1)],
  ['in a name', head => head.slice(0, head.indexOf('Response') + 4)],
  ['in a value', head => head.slice(0, head.indexOf('seal-of') + 3)],
  ['before the empty line', head => head.slice(0, -2)],
  ['in the empty line', head => head.slice(0, -1)],
];

const PATHS = ['/order/a', '/look/a', '/chat/a'];
const CASES = CUTS.flatMap(([place, cut]) =>
  PATHS.flatMap(path => ['end', 'reset'].map(how => ({place, cut, path, how}))),
);

test.each(CASES)(
  'a head that stops $place never becomes a success ($path, $how)',
  async ({cut, path, how}) => {
    upstream = new RawUpstream(
      withoutReports(({id, socket}) => {
        const more = path === '/chat/a' ? STREAM : 'Content-Length: 0\r\n';
        socket.write(cut(successHead(id, more)));
        setTimeout(() => {
          if (how === 'end') socket.end();
          else socket.resetAndDestroy();
        }, 5);
      }),
    );
    const service = path === '/chat/a' ? 'engine' : 'plain';
    const port = await upstream.listen();
    gateway = await startTestGateway([{service, id: 'i-1', port}], 300);
    const {port: callers} = gateway.gateway;
    const response = await call(callers, path, 'r1', {method: 'POST'});
    expect(response?.status).toBeGreaterThanOrEqual(500);
    expect(upstream.received.map(({id}) => id)).toContain('r1');
    // What may have run isn't said not to have.
    expect(response?.status).not.toBe(503);
  },
);
