import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {checkDocument} from '../src/config/index.js';
import {ManualTimer} from '../src/timer/index.js';
import {
  LeavingRegister,
  NoticeSource,
  type LeavingNotice,
} from '../src/upstream/index.js';
import {documentOf} from './support/documents.js';

const UPSTREAM_NAME = 'runner-1';
const {Upstream, Operator, List} = NoticeSource;

const setUp = () => {
  const timer = new ManualTimer();
  const register = new LeavingRegister(timer);
  const changes: string[] = [];
  register.subscribe((upstream, leaving) =>
    changes.push(`${upstream} ${leaving ? 'leaves' : 'returns'}`),
  );
  return {timer, register, changes};
};

const documentWith = (leaving: string[]) => {
  const draft = documentOf(1);
  const pools = draft.pools.map(pool => ({...pool, leaving}));
  return checkDocument({...draft, pools})._unsafeUnwrap();
};

describe('leaving upstreams', () => {
  it.each([Upstream, Operator, List])(
    'are marked by a notice from source %s',
    source => {
      const {register, changes} = setUp();
      register.observe(UPSTREAM_NAME, source, true);
      expect(register.sources(UPSTREAM_NAME)).toEqual([source]);
      expect(changes).toEqual(['runner-1 leaves']);
    },
  );

  it('are not brought back by outdated or interrupted reports', async () => {
    const {timer, register} = setUp();
    register.observe(UPSTREAM_NAME, Upstream, true);
    register.observe(UPSTREAM_NAME, List, false);
    await timer.advance(20_000);
    register.observe(UPSTREAM_NAME, Upstream, false);
    await timer.advance(20_000);
    register.observe(UPSTREAM_NAME, Upstream, true);
    await timer.advance(20_000);
    register.observe(UPSTREAM_NAME, Upstream, false);
    expect(register.isLeaving(UPSTREAM_NAME)).toBe(true);
  });

  it('return after reporting for 30 s that they stay', async () => {
    const {timer, register, changes} = setUp();
    register.observe(UPSTREAM_NAME, Upstream, true);
    register.observe(UPSTREAM_NAME, Upstream, false);
    await timer.advance(30_000);
    register.observe(UPSTREAM_NAME, Upstream, false);
    expect(changes).toEqual(['runner-1 leaves', 'runner-1 returns']);
  });

  it('are not brought back by an instance that only heard of it from peers', async () => {
    const {timer, register} = setUp();
    const version = timer.wallNow();
    register.merge({
      upstream: UPSTREAM_NAME,
      source: Upstream,
      leaving: true,
      version,
    });
    register.observe(UPSTREAM_NAME, Upstream, false);
    await timer.advance(60_000);
    register.observe(UPSTREAM_NAME, Upstream, false);
    expect(register.isLeaving(UPSTREAM_NAME)).toBe(true);
  });

  it('return when a configuration reactivates them', () => {
    const {register} = setUp();
    register.applyConfiguration(documentWith([]));
    register.observe(UPSTREAM_NAME, Operator, true);
    register.applyConfiguration(documentWith([]));
    expect(register.isLeaving(UPSTREAM_NAME)).toBe(true);
    register.applyConfiguration(documentWith([UPSTREAM_NAME]));
    register.applyConfiguration(documentWith([]));
    expect(register.isLeaving(UPSTREAM_NAME)).toBe(false);
  });

  it('return on an operator command, regardless of the source', () => {
    const {register} = setUp();
    register.observe(UPSTREAM_NAME, Upstream, true);
    register.observe(UPSTREAM_NAME, List, true);
    register.applyCommand(UPSTREAM_NAME, false);
    expect(register.isLeaving(UPSTREAM_NAME)).toBe(false);
  });
});

describe('leaving notices', () => {
  const notice = fc.record({
    upstream: fc.constantFrom('a', 'b'),
    source: fc.constantFrom(...Object.values(NoticeSource)),
    leaving: fc.boolean(),
    version: fc.nat(20),
  });
  const distinct = fc.uniqueArray(notice, {
    selector: ({upstream, source, version}: LeavingNotice) =>
      `${upstream} ${source} ${version}`,
  });

  it('converge to the same state in any order and with duplicates', () => {
    fc.assert(
      fc.property(distinct, fc.infiniteStream(fc.nat()), (notices, order) => {
        const [first, second] = [setUp().register, setUp().register];
        for (const item of notices) first.merge(item);
        const keyed = notices.map(item => ({item, at: order.next().value}));
        keyed.sort((a, b) => a.at - b.at);
        for (const {item} of [...keyed, ...keyed]) second.merge(item);
        expect(
          new Map(second.all().map(({key, value}) => [key, value])),
        ).toEqual(new Map(first.all().map(({key, value}) => [key, value])));
      }),
      {seed: 62},
    );
  });
});
