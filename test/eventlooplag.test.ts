import pino from 'pino';
import {expect, test} from 'vitest';
import {LogEvent} from '../src/telemetry/index.js';
import {ManualTimer} from '../src/timer/index.js';
import {EventLoopLag} from '../src/wiring/eventlooplag.js';

/** A lag that notes delays, one each 250 ms, and its log. */
function openLag() {
  const timer = new ManualTimer();
  const lines: unknown[] = [];
  const write = (line: string) => lines.push(JSON.parse(line));
  const lag = new EventLoopLag(timer, pino({}, {write}));
  const note = async (...delays: number[]) => {
    for (const ms of delays) {
      await timer.advance(250);
      lag.note(ms, {upstream: 'i-1', chunks: 7, bytes: 70});
    }
  };
  return {timer, lag, lines, note};
}

test('the longest delay of ten seconds is kept', async () => {
  const {timer, lag, note} = openLag();
  await note(5, 80, 20, 40);
  const first = lag.longestMs;
  await timer.advance(9_600);
  const second = lag.longestMs;
  await timer.advance(250);
  const third = lag.longestMs;
  await timer.advance(10_000);
  expect([first, second, third, lag.longestMs]).toEqual([80, 40, 40, 0]);
});

test('long delays are logged once in ten seconds', async () => {
  const {timer, lines, note} = openLag();
  await note(249, 250, 900);
  await timer.advance(10_000);
  await note(400);
  expect(lines).toMatchObject([
    {event: LogEvent.Lag, lateMs: 250, upstream: 'i-1', chunks: 7},
    {event: LogEvent.Lag, lateMs: 400},
  ]);
});
