import fc from 'fast-check';
import {expect, test} from 'vitest';
import {Admission, Pause, type Trial} from '../src/forward/pause.js';
import {requestedPause} from '../src/forward/retryafter.js';
import {retryDelayMs} from '../src/forward/retrydelay.js';

const WALL_NOW = Date.parse('2026-12-04T08:00:00Z');

test('Retry-After is a number of seconds or a date', () => {
  const values = [
    '3',
    '0.25',
    '.5',
    ' 2 ',
    '0',
    '-1',
    '1e9',
    '99999',
    'soon',
    '',
    '2, 3',
    'Fri, 04 Dec 2026 08:00:05 GMT',
    'Friday, 04-Dec-26 08:00:05 GMT',
    'Fri Dec  4 08:00:05 2026',
    'Fri, 04 Dec 2026 07:59:00 GMT',
  ];
  const read = values.map(value => {
    const pause = requestedPause(503, value, WALL_NOW);
    if (pause === undefined) return `${value}: none`;
    if (pause.type === 'invalid') return `${value}: invalid`;
    return `${value}: ${pause.ms} ms${pause.capped ? ', capped' : ''}`;
  });
  expect(read).toMatchInlineSnapshot(`
    [
      "3: 3000 ms",
      "0.25: 250 ms",
      ".5: 500 ms",
      " 2 : 2000 ms",
      "0: none",
      "-1: invalid",
      "1e9: invalid",
      "99999: 300000 ms, capped",
      "soon: invalid",
      ": invalid",
      "2, 3: invalid",
      "Fri, 04 Dec 2026 08:00:05 GMT: 5000 ms",
      "Friday, 04-Dec-26 08:00:05 GMT: 5000 ms",
      "Fri Dec  4 08:00:05 2026: 5000 ms",
      "Fri, 04 Dec 2026 07:59:00 GMT: invalid",
    ]
  `);
  expect(requestedPause(429, '3', WALL_NOW)).toBeUndefined();
  expect(requestedPause(503, undefined, WALL_NOW)).toBeUndefined();
});

test('after a pause one request is tried, then twice as many each time', () => {
  const pause = new Pause();
  expect([pause.begin(0, 1_000, 0.5), pause.begin(10, 500, 0)]).toEqual([
    true,
    false,
  ]);
  expect([pause.remainingMs(10), pause.admission(1_099)]).toEqual([
    1_090,
    Admission.Paused,
  ]);
  const first = pause.place(1_100);
  expect([pause.admission(1_100), first?.succeed()]).toEqual([
    Admission.Trying,
    false,
  ]);
  const second = pause.place(1_110);
  expect(pause.admission(1_110)).toBe(Admission.Trial);
  const third = pause.place(1_110);
  expect(pause.admission(1_110)).toBe(Admission.Trying);
  third?.end();
  expect(pause.admission(1_110)).toBe(Admission.Trial);
  expect(second?.succeed()).toBe(false);
  expect(pause.place(1_120)?.succeed()).toBe(true);
  expect(pause.admission(1_120)).toBe(Admission.Open);
});

test('a pause holds back what is not sent yet, and admits one probe', () => {
  const pause = new Pause();
  expect([pause.admitProbe(0), pause.admitProbe(1)]).toEqual([true, true]);
  pause.begin(50, 1_000, 0);
  expect([pause.withholds(40, 60), pause.withholds(60, 70)]).toEqual([
    true,
    false,
  ]);
  expect([pause.admitProbe(80), pause.admitProbe(900)]).toEqual([true, false]);
  expect([pause.withholds(40, 1_050), pause.admitProbe(1_050)]).toEqual([
    false,
    true,
  ]);
});

type Step =
  | {type: 'advance'; ms: number}
  | {type: 'place'}
  | {type: 'answer'; index: number; pauseMs: number}
  | {type: 'end'; index: number};

const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({
    type: fc.constant('advance' as const),
    ms: fc.integer({min: 1, max: 900}),
  }),
  fc.record({type: fc.constant('place' as const)}),
  fc.record({
    type: fc.constant('answer' as const),
    index: fc.nat(9),
    pauseMs: fc.oneof(fc.constant(0), fc.integer({min: 1, max: 4_000})),
  }),
  fc.record({type: fc.constant('end' as const), index: fc.nat(9)}),
);

test('nothing is placed during a pause, and the return begins with one request', () => {
  fc.assert(
    fc.property(
      fc.array(step, {maxLength: 120}),
      fc.double({min: 0, max: 0.999, noNaN: true}),
      (steps, random) => {
        const pause = new Pause();
        let running: Array<{trial?: Trial; outdated?: boolean}> = [];
        let now = 0;
        let pausedUntil = -Infinity;
        let trying = 0;
        let hasReturned = true;
        for (const item of steps) {
          switch (item.type) {
            case 'advance':
              now += item.ms;
              break;
            case 'place': {
              const admission = pause.admission(now);
              if (now < pausedUntil) expect(admission).toBe(Admission.Paused);
              if (
                admission === Admission.Paused ||
                admission === Admission.Trying
              ) {
                break;
              }
              const trial = pause.place(now);
              if (!hasReturned) expect(trying++).toBe(0);
              running.push(trial === undefined ? {} : {trial});
              break;
            }
            case 'answer': {
              const [request] = running.splice(item.index, 1);
              if (request === undefined) break;
              if (item.pauseMs > 0) {
                pause.begin(now, item.pauseMs, random);
                pausedUntil = Math.max(pausedUntil, now + item.pauseMs);
                hasReturned = false;
                trying = 0;
                running = running.map(other => ({...other, outdated: true}));
              } else if (request.outdated === true) {
                expect(request.trial?.succeed() ?? false).toBe(false);
              } else if (request.trial !== undefined) {
                request.trial.succeed();
                hasReturned = true;
              }
              request.trial?.end();
              break;
            }
            case 'end': {
              const [request] = running.splice(item.index, 1);
              request?.trial?.end();
              if (request?.trial === undefined) break;
              if (!hasReturned && request.outdated !== true) trying--;
              break;
            }
          }
        }
        for (const {trial} of running) trial?.end();
        const later = now + 4_000 + 1_000;
        expect([Admission.Open, Admission.Trial]).toContain(
          pause.admission(later),
        );
      },
    ),
  );
});

test('callers return after the pause, spread over half of it', () => {
  const delays = [0, 0.999].map(random =>
    [0, 1_000, 3_000, 60_000].map(pauseMs =>
      Math.round(retryDelayMs(100, pauseMs, random)),
    ),
  );
  expect(delays).toMatchInlineSnapshot(`
    [
      [
        150,
        1000,
        3000,
        60000,
      ],
      [
        225,
        1500,
        4499,
        61998,
      ],
    ]
  `);
});
