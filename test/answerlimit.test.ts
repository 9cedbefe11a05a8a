import {expect, test} from 'vitest';
import {AnswerLimit} from '../src/forward/answerlimit.js';
import {ManualTimer} from '../src/timer/index.js';

/** Chunks of an answer without end that are read at once. */
const READ = 10_000;
const LARGE_BYTES = 64 * 1024;
/** Pace of an answer in large chunks beside many that are endless. */
const MIN_BYTES_PER_SECOND = 10 * 1024 * 1024;

/** A limit in virtual time, and answers that come until they have to wait. */
function openLimit() {
  const timer = new ManualTimer();
  const limit = new AnswerLimit(timer);
  const open = (chunkBytes = 1) => {
    const answer = {received: 0, waits: false, brokenOff: false};
    const receive = (chunks: number) => {
      for (let sent = 0; sent < chunks && !answer.waits; sent++) {
        answer.received++;
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
  return {timer, limit, open};
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
  // 400 each, 50,000 of the pool, and what they draw at once beyond that.
  expect(atOnce).toBeLessThanOrEqual(200 * 400 + 50_000 + 1_000);
  expect(received - atOnce).toBeLessThanOrEqual(3 * (50_000 + 200 * 200));
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
