import {describe, expect, it} from 'vitest';
import {
  MemberState,
  type Member,
  type Membership,
  type MemberStatus,
} from '../src/instance/index.js';
import {
  AttemptEnd,
  type Placement,
  type ParsedRequest,
} from '../src/request/index.js';
import {SchedulerHarness} from './support/schedulerharness.js';

/** A fleet of two whose other member is set by the test. */
class Pair implements Membership {
  readonly peer: Member;
  private readonly me: Member;

  constructor() {
    const member = (name: string): Member => ({
      name,
      incarnation: 1,
      zone: 'delta-1',
      host: '127.0.0.1',
      port: 1,
      state: MemberState.Alive,
      status: {configurationVersion: 1, queued: 0, running: 0},
    });
    this.me = member('router-1');
    this.peer = member('router-2');
  }

  self = () => this.me;
  live = () => [this.me, this.peer];
  all = () => [this.me, this.peer];
  subscribe = () => undefined;

  updateStatus(status: Partial<MemberStatus>): void {
    Object.assign(this.me.status, status);
  }
}

const oneRunner = (membership?: Membership) =>
  new SchedulerHarness(
    configuration => {
      for (const pool of configuration.pools) {
        if (pool.kind === 'runner') pool.upstreams.splice(1);
      }
    },
    membership === undefined ? {} : {membership},
  );

const collect = (rig: SchedulerHarness, work: ParsedRequest) => {
  const state: {placement?: Placement; failure?: string} = {};
  void rig.acquire(work).then(result => {
    if (result.isOk()) state.placement = result.value;
    else state.failure = result.error.failure.type;
  });
  return state;
};

describe('tiers across instances', () => {
  it('hold back lower tiers while a peer sheds a higher one', async () => {
    const pair = new Pair();
    const rig = oneRunner(pair);
    rig.reportLoad(16);
    pair.peer.status = {...pair.peer.status, shedTier: 1};
    const batch = collect(rig, rig.work('spec-review'));
    const chat = collect(rig, rig.work('operator-chat'));
    await rig.timer.advance(1);
    expect(chat.placement).toBeDefined();
    expect(batch.placement).toBeUndefined();
    pair.peer.status = {...pair.peer.status, shedTier: undefined};
    await rig.timer.advance(100);
    rig.scheduler.dispatch();
    await rig.timer.advance(1);
    expect(batch.placement).toBeDefined();
  });

  it('tell peers before a higher tier is shed, and wait until they know', async () => {
    const pair = new Pair();
    const rig = oneRunner(pair);
    rig.reportLoad(1);
    const states: Array<ReturnType<typeof collect>> = [];
    const send = (count: number) => {
      for (let n = 0; n < count; n++) {
        states.push(collect(rig, rig.work('operator-chat')));
      }
    };
    const shed = () => states.filter(({failure}) => failure === 'overloaded');
    send(1_100);
    await rig.timer.advance(1);
    expect(shed()).toHaveLength(0);
    expect(pair.self().status.shedTier).toBe(1);
    await rig.timer.advance(1_900);
    send(1);
    await rig.timer.advance(200);
    send(1);
    await rig.timer.advance(1);
    expect(shed().length).toBeGreaterThan(90);
  });

  it('are told to the engines', async () => {
    const rig = new SchedulerHarness();
    const names = ['recipe-advice', 'operator-chat', 'spec-review'];
    const states = names.map(name => collect(rig, rig.work(name)));
    await rig.timer.advance(1);
    expect(states.map(({placement}) => placement?.priority)).toEqual([0, 1, 3]);
  });
});

describe('preemption', () => {
  const saturated = async (stream: boolean) => {
    const rig = oneRunner();
    rig.reportLoad(4);
    const batch = Array.from({length: 3}, () =>
      collect(
        rig,
        rig.work('spec-review', {
          demand: {
            type: 'generation',
            model: 'spec-13b',
            prompt: 'Review.',
            stream,
          },
        }),
      ),
    );
    await rig.timer.advance(1);
    return {rig, batch};
  };

  it('stops cheap work well below, once, when a target is at stake', async () => {
    const {rig, batch} = await saturated(false);
    const top = Array.from({length: 4}, () =>
      collect(rig, rig.work('recipe-advice', {deadlineAt: 20_000})),
    );
    await rig.timer.advance(200);
    rig.scheduler.dispatch();
    const stopped = new Set<Placement>();
    for (let round = 0; round < 3; round++) {
      for (const {placement} of batch) {
        if (placement?.signal.aborted !== true) continue;
        if (!stopped.has(placement)) placement.release(AttemptEnd.Cancelled);
        stopped.add(placement);
      }
      await rig.timer.advance(1);
    }
    expect(top.every(({placement}) => placement !== undefined)).toBe(true);
    expect(stopped.size).toBe(3);
  });

  it('never stops what has begun to answer', async () => {
    const {rig, batch} = await saturated(true);
    for (const {placement} of batch) placement?.firstToken();
    for (let n = 0; n < 4; n++) collect(rig, rig.work('recipe-advice'));
    await rig.timer.advance(300);
    rig.scheduler.dispatch();
    expect(batch.some(({placement}) => placement?.signal.aborted)).toBe(false);
  });
});

describe('contract limits', () => {
  it('hold back a workspace without holding up others', async () => {
    const rig = new SchedulerHarness(configuration => {
      const [first] = configuration.workspaces;
      if (first !== undefined) first.limits = {concurrent: 1};
    });
    const [limited, other] = rig.configuration.workspaces;
    const work = (workspace: ParsedRequest['workspace'] | undefined) =>
      rig.work('operator-chat', {
        workspace: workspace as ParsedRequest['workspace'],
      });
    const one = collect(rig, work(limited));
    const two = collect(rig, work(limited));
    const three = collect(rig, work(other));
    await rig.timer.advance(1);
    expect([one, two, three].map(({placement}) => placement !== undefined))
      .toMatchInlineSnapshot(`
      [
        true,
        false,
        true,
      ]
    `);
    one.placement?.release(AttemptEnd.Completed);
    await rig.timer.advance(1);
    expect(two.placement).toBeDefined();
  });
});
