import {afterEach, describe, expect, test} from 'vitest';
import {LOOPBACK} from '../stand-ins/loopback.js';
import {BoundedInstance} from './support/boundedinstance.js';
import {
  CHUNKED,
  closeAll,
  failureHead,
  flood,
  openUpstream,
  PROMPT,
  STREAM,
  UNFRAMED,
  type EndlessAnswer,
} from './support/endless.js';
import {successHead} from './support/gateway.js';
import {sendSeries} from './support/requestseries.js';

/** The machine of the deploy file. */
const MACHINE = {memoryMb: 350, maxFds: 4_100};
/** Most memory that an instance may take, in MB. */
const PEAK_MB = 150;
const DEADLINE_MS = 2_000;
/** Time after its deadline within which a request has ended, in ms. */
const SLACK_MS = 500;
const SERIES = {
  path: '/chat/a',
  headers: PROMPT,
  perSecond: 120,
  durationMs: 4_000,
  deadlineMs: DEADLINE_MS,
};
const ORDINARY = {
  path: '/order/a',
  perSecond: 10,
  durationMs: 4_000,
  deadlineMs: DEADLINE_MS,
};

let instance: BoundedInstance | undefined;

afterEach(async () => {
  await instance?.close();
  instance = undefined;
  await closeAll();
});

// Guards against upstreams that take the processor time and memory of an instance.
describe('an instance stays in time beside endless answers', () => {
  test.each<EndlessAnswer>([
    {
      name: 'bodies in chunks of one byte',
      start: id => successHead(id, CHUNKED),
      unit: '1\r\nx\r\n',
    },
    {
      name: 'failures in chunks of one byte',
      start: id => failureHead(id, CHUNKED),
      unit: '1\r\nx\r\n',
    },
    {
      name: 'streams of blank lines in chunks of one byte',
      start: id => successHead(id, STREAM + CHUNKED),
      unit: '1\r\n\n\r\n',
    },
    {
      name: 'streams of events of nine bytes',
      start: id => successHead(id, STREAM + UNFRAMED),
      unit: 'data: x\n\n',
    },
    {
      name: 'streams of comments in large reads',
      start: id => successHead(id, STREAM + UNFRAMED),
      unit: ':\n\n',
    },
    {
      name: 'streams of blank lines in large reads',
      start: id => successHead(id, STREAM + UNFRAMED),
      unit: '\n',
    },
  ])('in the form of $name', async answer => {
    const ids = ['bad-0', 'bad-1', 'bad-2', 'bad-3'];
    instance = await BoundedInstance.open(
      MACHINE,
      await Promise.all(
        ids.map(id => openUpstream('engine', id, flood(answer))),
      ),
    );
    const at = {host: LOOPBACK, port: instance.port};
    const [ends, ordinary] = await Promise.all([
      sendSeries({...at, ...SERIES}),
      sendSeries({...at, ...ORDINARY}),
    ]);
    const peakMb = instance.peakMb();
    const limitMs = DEADLINE_MS + SLACK_MS;
    const late = ends.filter(({ms}) => ms > limitMs).length;
    const unserved = ordinary.filter(({status}) => status !== 200).length;
    expect({
      lives: instance.usage.lives,
      late,
      unserved,
      staysBelow: peakMb < PEAK_MB,
    }).toEqual({lives: true, late: 0, unserved: 0, staysBelow: true});
  });
});
