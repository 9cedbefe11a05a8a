import {afterEach, expect, test} from 'vitest';
import {RepeatCause} from '../src/forward/repeatcause.js';
import {ForwardMetrics} from '../src/forward/metrics.js';
import {LogEvent} from '../src/telemetry/index.js';
import {
  closeAll,
  open,
  openGateway,
  sendPlain,
} from './support/silencegateway.js';
import {plainAnswer, refuse, reset} from './support/silentupstream.js';

afterEach(closeAll);

test('each attempt after the first is logged with its cause and its time', async () => {
  const answer = plainAnswer('the body');
  const plain = await open('plain', 3, refuse, reset, answer);
  const gateway = await openGateway([plain]);
  for (let index = 0; index < 12; index++) {
    await sendPlain(gateway, '/look/', `r${index}`);
  }
  const resent = gateway.logLines
    .filter(({event}) => event === LogEvent.Resent)
    .map(({request, cause, charged}) => ({request, cause, charged}));
  expect(resent[0]).toEqual({request: 'r0', cause: 'refused', charged: true});
  const arrivals = plain.members
    .flatMap(({raw}) => raw.received)
    .filter(({id}) => id !== '');
  expect(resent).toHaveLength(arrivals.length - 12);
});

test('repeats are counted by service and cause', () => {
  const metrics = new ForwardMetrics();
  metrics.recordRepeat('plain', RepeatCause.Silent);
  metrics.recordRepeat('plain', RepeatCause.Silent);
  metrics.recordRepeat('plain', RepeatCause.Unsent);
  expect(metrics.exposition({})).toMatchInlineSnapshot(`
    "gypsumcourse_repeats_total{service="plain",cause="silent",charged="true"} 2
    gypsumcourse_repeats_total{service="plain",cause="unsent",charged="false"} 1
    "
  `);
});
