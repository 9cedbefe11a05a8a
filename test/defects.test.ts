import {afterEach, expect, test, vi} from 'vitest';
import {ConnectionPool} from '../src/forward/connectionpool.js';
import {LogEvent} from '../src/telemetry/index.js';
import {
  call,
  RawUpstream,
  startTestGateway,
  successHead,
  withoutReports,
  type TestGateway,
} from './support/gateway.js';

let gateway: TestGateway;
let upstream: RawUpstream;

afterEach(async () => {
  upstream.close();
  await gateway.gateway.stop();
});

test('an unexpected error in an attempt ends neither its instance nor others', async () => {
  upstream = new RawUpstream(
    withoutReports(({id, socket}) =>
      socket.write(`${successHead(id, 'Content-Length: 2\r\n')}ok`),
    ),
  );
  const port = await upstream.listen();
  gateway = await startTestGateway([{service: 'plain', id: 'i-1', port}]);
  const {gateway: running, logLines} = gateway;
  const acquire = vi.spyOn(ConnectionPool.prototype, 'acquire');
  acquire.mockImplementation(() => {
    throw new TypeError('unexpected');
  });
  const failed = await call(running.port, '/order/a', 'r1', {method: 'POST'});
  acquire.mockRestore();
  // It was not sent, so it truly has not run.
  expect(failed?.status).toBe(503);
  expect(logLines.map(({event}) => event)).toContain(LogEvent.Defect);
  await expect
    .poll(async () => (await call(running.port, '/look/a', 'r2'))?.status)
    .toBe(200);
});
