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

const NAME = 'runner-1';
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

describe('an upstream', () => {
  it.each([Upstream, Operator, List])(
    'leaves on the notice of its %s',
    source => {
      const {register, changes} = setUp();
      register.observe(NAME, source, true);
      expect(register.sources(NAME)).toEqual([source]);
      expect(changes).toEqual(['runner-1 leaves']);
    },
  );

  it('stays away while late news tell that it lives', async () => {
    const {timer, register} = setUp();
    register.observe(NAME, Upstream, true);
    register.observe(NAME, List, false);
    await timer.advance(20_000);
    register.observe(NAME, Upstream, false);
    await timer.advance(20_000);
    register.observe(NAME, Upstream, true);
    await timer.advance(20_000);
    register.observe(NAME, Upstream, false);
    expect(register.isLeaving(NAME)).toBe(true);
  });

  it('returns when its own notice is steadily taken back', async () => {
    const {timer, register, changes} = setUp();
    register.observe(NAME, Upstream, true);
    register.observe(NAME, Upstream, false);
    await timer.advance(30_000);
    register.observe(NAME, Upstream, false);
    expect(changes).toEqual(['runner-1 leaves', 'runner-1 returns']);
  });

  it('is not brought back by an instance that never saw it leave', async () => {
    const {timer, register} = setUp();
    const version = timer.wallNow();
    register.merge({upstream: NAME, source: Upstream, leaving: true, version});
    register.observe(NAME, Upstream, false);
    await timer.advance(60_000);
    register.observe(NAME, Upstream, false);
    expect(register.isLeaving(NAME)).toBe(true);
  });

  it('returns by a configuration that brings it back', () => {
    const {register} = setUp();
    register.applyConfiguration(documentWith([]));
    register.observe(NAME, Operator, true);
    register.applyConfiguration(documentWith([]));
    expect(register.isLeaving(NAME)).toBe(true);
    register.applyConfiguration(documentWith([NAME]));
    register.applyConfiguration(documentWith([]));
    expect(register.isLeaving(NAME)).toBe(false);
  });

  it('returns by an operator, whoever said that it leaves', () => {
    const {register} = setUp();
    register.observe(NAME, Upstream, true);
    register.observe(NAME, List, true);
    register.applyCommand(NAME, false);
    expect(register.isLeaving(NAME)).toBe(false);
  });
});

describe('notices', () => {
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

  it('give the same register in any order, late and twice', () => {
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
