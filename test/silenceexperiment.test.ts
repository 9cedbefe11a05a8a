import {expect, test} from 'vitest';
import {judge} from '../bench/silence/experiment.js';

test('repeats that are read late with more time than is left are counted', () => {
  const sentAt = new Map(
    ['soon', 'late', 'overlong', 'single'].map(id => [id, 0]),
  );
  const first = (id: string) => ({id, readAt: 10, handedMs: 1_190});
  expect(
    judge(
      [
        {id: 'overlong', readAt: 1_300, handedMs: 800},
        {id: 'soon', readAt: 400, handedMs: 1_600},
        {id: 'late', readAt: 700, handedMs: 900},
        ...[...sentAt.keys()].map(first),
      ],
      sentAt,
    ),
  ).toEqual({repeats: 3, late: 2, overlong: 1});
});
