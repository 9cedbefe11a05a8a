import {expect, test} from 'vitest';
import {ChunkLimit} from '../src/forward/chunklimit.js';

/** A limit with its clock, and a body that counts chunks until it must yield. */
function openLimit() {
  const clock = {ms: 0};
  const limit = new ChunkLimit({now: () => clock.ms});
  const open = () => {
    const count = limit.open();
    const send = (chunks: number, bytes = 1) => {
      for (let sent = 1; sent <= chunks; sent++) {
        if (!count.add(bytes)) return sent;
      }
      return 'all';
    };
    return {send, count};
  };
  return {clock, open};
}

test('a single body in small chunks is received in calm', () => {
  const {open} = openLimit();
  expect(open().send(4_000_000)).toBe('all');
});

test('of several bodies in small chunks those with many have to yield', () => {
  const {clock, open} = openLimit();
  const [first, second, few] = [open(), open(), open()];
  const results = [first.send(40_000), second.send(40_000), few.send(1_000)];
  second.count.end();
  const single = first.send(1);
  clock.ms = 1_000;
  const later = first.send(49_999);
  expect({results, single, later}).toEqual({
    results: ['all', 10_001, 'all'],
    single: 1,
    later: 'all',
  });
});

test('chunks of a usual size are not limited', () => {
  const {open} = openLimit();
  const bodies = [open(), open()];
  expect(bodies.map(({send}) => send(200_000, 64))).toEqual(['all', 'all']);
  expect(bodies[0]?.count.isSmall).toBe(false);
});
