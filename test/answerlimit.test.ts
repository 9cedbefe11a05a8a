import {expect, test} from 'vitest';
import {AnswerLimit} from '../src/forward/answerlimit.js';
import {WorkPool} from '../src/forward/workpool.js';
import {ManualTimer} from '../src/timer/index.js';
import {SlowMachine} from './support/slowmachine.js';

/** Chunks of an answer without end that are read at once. */
const READ = 10_000;
const LARGE_BYTES = 64 * 1024;
/** Pace of an answer in large chunks beside many that are endless. */
const MIN_BYTES_PER_SECOND = 10 * 1024 * 1024;

/** Time within which each request has ended after its deadline, in ms. */
const SLACK_MS = 500;

/**
 * A limit in virtual time, and answers that come until they have to wait.
 * `msPerChunk`: processor time that a chunk takes.
 */
function openLimit(msPerChunk = 0) {
  const timer = new ManualTimer();
  const machine = new SlowMachine(timer);
  const limit = new AnswerLimit(machine);
  const open = (chunkBytes = 1) => {
    const answer = {received: 0, waits: false, brokenOff: false};
    const receive = (chunks: number) => {
      for (let sent = 0; sent < chunks && !answer.waits; sent++) {
        answer.received++;
        machine.work(msPerChunk);
        answer.waits = !meter.addChunk(chunkBytes);
      }
    };
    const meter = limit.open({
      resume: () => {
        answer.waits = false;
        receive(READ);
      },
      waits: () => undefined,
      breakOff: () => {
        answer.brokenOff = true;
        meter.end();
      },
    });
    return {answer, meter, receive};
  };
  return {timer, machine, limit, open};
}

test('a single answer in small chunks never waits', () => {
  const {open} = openLimit();
  const {answer, receive} = open();
  receive(4_000_000);
  expect(answer).toMatchObject({received: 4_000_000, waits: false});
});

test('of many answers in small chunks those that wait for long are broken off', async () => {
  const {timer, open, limit} = openLimit();
  const answers = Array.from({length: 200}, () => open());
  for (const {receive} of answers) receive(READ);
  const atOnce = answers.reduce((sum, {answer}) => sum + answer.received, 0);
  await timer.advance(3_000);
  const received = answers.reduce((sum, {answer}) => sum + answer.received, 0);
  const brokenOff = answers.filter(({answer}) => answer.brokenOff).length;
  // 400 each, 10,000 of the pool, and what they draw at once beyond that.
  expect(atOnce).toBeLessThanOrEqual(200 * 400 + 10_000 + 1_000);
  expect(received - atOnce).toBeLessThanOrEqual(3 * (20_000 + 200 * 200));
  expect(brokenOff).toBeGreaterThan(100);
  expect(brokenOff + limit.waitingCount).toBeLessThanOrEqual(200);
});

test('paced streams beside them never wait', async () => {
  const {timer, open} = openLimit();
  const paced = Array.from({length: 50}, () => open(20));
  const endless = Array.from({length: 200}, () => open());
  for (const {receive} of endless) receive(READ);
  for (const {receive} of paced) receive(300);
  let sent = 300;
  for (let tick = 0; tick < 200; tick++) {
    await timer.advance(50);
    // Sixty a second.
    for (const {receive} of paced) receive(3);
    sent += 3;
  }
  expect(paced.map(({answer}) => answer)).toEqual(
    paced.map(() => ({received: sent, waits: false, brokenOff: false})),
  );
});

test('answers in large chunks beside them wait, and are never broken off', async () => {
  const {timer, open} = openLimit();
  const large = open(LARGE_BYTES);
  large.receive(50);
  const endless = Array.from({length: 200}, () => open());
  for (const {receive} of endless) receive(READ);
  large.receive(READ);
  await timer.advance(10_000);
  expect(large.answer.brokenOff).toBe(false);
  const receivedBytes = large.answer.received * LARGE_BYTES;
  expect(receivedBytes).toBeGreaterThan(10 * MIN_BYTES_PER_SECOND);
});

// Guards against a share of work that is more than a small machine can do.
// One that is broken off within a chunk is told of that chunk afterwards.
test('an answer that was broken off does not wait again', () => {
  const {limit, open} = openLimit();
  for (const {receive} of Array.from({length: 60}, () => open())) receive(READ);
  const before = limit.waitingCount;
  const {answer, meter, receive} = open();
  receive(READ);
  expect(answer.waits).toBe(true);
  meter.end();
  expect(meter.addChunk(LARGE_BYTES)).toBe(true);
  expect(meter.addEvents(1, LARGE_BYTES)).toBe(true);
  expect(limit.waitingCount).toBe(before);
});

test('on a slow machine they leave time for what is due', async () => {
  const {timer, machine, open} = openLimit(0.06);
  const start = () => {
    const endless = open();
    endless.receive(READ);
    return endless;
  };
  const answers = Array.from({length: 20}, start);
  let longestDelayMs = 0;
  for (let tick = 0; tick < 100; tick++) {
    const dueAt = timer.now() + 100;
    await timer.advance(100);
    longestDelayMs = Math.max(longestDelayMs, machine.now() - dueAt);
    // Callers ask again.
    answers.forEach(({answer}, index) => {
      if (answer.brokenOff) answers[index] = start();
    });
  }
  expect(longestDelayMs).toBeLessThan(SLACK_MS);
});

test('the pool of work gives less while the event loop is late, and then more again', () => {
  const pool = new WorkPool(0);
  const seconds: string[] = [];
  let now = 0;
  for (const lateMs of [0, 100, 100, 0, 0]) {
    let units = 0;
    for (const end = now + 1_000; now < end; now += 50 + lateMs) {
      while (pool.take(100, now)) units += 100;
      pool.expectLook(now + 50);
      pool.look(now + 50 + lateMs);
    }
    seconds.push(`${lateMs} ms late: ${units}, full: ${pool.isFullRate(now)}`);
  }
  expect(seconds).toMatchInlineSnapshot(`
    [
      "0 ms late: 29000, full: true",
      "100 ms late: 8500, full: false",
      "100 ms late: 5300, full: false",
      "0 ms late: 9800, full: false",
      "0 ms late: 18300, full: true",
    ]
  `);
});
