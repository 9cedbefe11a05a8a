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

/** Membership of two instances; a test sets the status of the peer. */
class TwoInstanceFleet implements Membership {
  readonly peer: Member;
  private readonly own: Member;

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
    this.own = member('router-1');
    this.peer = member('router-2');
  }

  self = () => this.own;
  live = () => [this.own, this.peer];
  all = () => [this.own, this.peer];
  subscribe = () => undefined;

  updateStatus(status: Partial<MemberStatus>): void {
    Object.assign(this.own.status, status);
  }
}

const singleRunnerHarness = (membership?: Membership) =>
  new SchedulerHarness(
    configuration => {
      for (const pool of configuration.pools) {
        if (pool.kind === 'runner') pool.upstreams.splice(1);
      }
    },
    membership === undefined ? {} : {membership},
  );

const track = (harness: SchedulerHarness, work: ParsedRequest) => {
  const state: {placement?: Placement; failure?: string} = {};
  void harness.acquire(work).then(result => {
    if (result.isOk()) state.placement = result.value;
    else state.failure = result.error.failure.type;
  });
  return state;
};

describe('load shedding across instances', () => {
  it('holds back lower tiers while a peer sheds a higher one', async () => {
    const fleet = new TwoInstanceFleet();
    const harness = singleRunnerHarness(fleet);
    harness.reportLoad(16);
    fleet.peer.status = {...fleet.peer.status, shedTier: 1};
    const batch = track(harness, harness.work('spec-review'));
    const chat = track(harness, harness.work('operator-chat'));
    await harness.timer.advance(1);
    expect(chat.placement).toBeDefined();
    expect(batch.placement).toBeUndefined();
    fleet.peer.status = {...fleet.peer.status, shedTier: undefined};
    await harness.timer.advance(100);
    harness.scheduler.dispatch();
    await harness.timer.advance(1);
    expect(batch.placement).toBeDefined();
  });

  it('starts only after peers have received the announced tier', async () => {
    const fleet = new TwoInstanceFleet();
    const harness = singleRunnerHarness(fleet);
    harness.reportLoad(1);
    const states: Array<ReturnType<typeof track>> = [];
    const send = (count: number) => {
      for (let n = 0; n < count; n++) {
        states.push(track(harness, harness.work('operator-chat')));
      }
    };
    const shed = () => states.filter(({failure}) => failure === 'overloaded');
    send(1_100);
    await harness.timer.advance(1);
    expect(shed()).toHaveLength(0);
    expect(fleet.self().status.shedTier).toBe(1);
    await harness.timer.advance(1_900);
    send(1);
    await harness.timer.advance(200);
    send(1);
    await harness.timer.advance(1);
    expect(shed().length).toBeGreaterThan(90);
  });

  it('passes the tier to the engine as priority', async () => {
    const harness = new SchedulerHarness();
    const names = ['recipe-advice', 'operator-chat', 'spec-review'];
    const states = names.map(name => track(harness, harness.work(name)));
    await harness.timer.advance(1);
    expect(states.map(({placement}) => placement?.priority)).toEqual([0, 1, 3]);
  });
});

describe('preemption', () => {
  const saturated = async (stream: boolean) => {
    const harness = singleRunnerHarness();
    harness.reportLoad(4);
    const batch = Array.from({length: 3}, () =>
      track(
        harness,
        harness.work('spec-review', {
          demand: {
            type: 'generation',
            model: 'spec-13b',
            prompt: 'Review.',
            stream,
          },
        }),
      ),
    );
    await harness.timer.advance(1);
    return {harness, batch};
  };

  it('stops recent lower-tier attempts once for urgent requests', async () => {
    const {harness, batch} = await saturated(false);
    const top = Array.from({length: 4}, () =>
      track(harness, harness.work('recipe-advice', {deadlineAt: 20_000})),
    );
    await harness.timer.advance(200);
    harness.scheduler.dispatch();
    const stopped = new Set<Placement>();
    for (let round = 0; round < 3; round++) {
      for (const {placement} of batch) {
        if (placement?.signal.aborted !== true) continue;
        if (!stopped.has(placement)) placement.release(AttemptEnd.Cancelled);
        stopped.add(placement);
      }
      await harness.timer.advance(1);
    }
    expect(top.every(({placement}) => placement !== undefined)).toBe(true);
    expect(stopped.size).toBe(3);
  });

  it('never stops an attempt that has sent a first token', async () => {
    const {harness, batch} = await saturated(true);
    for (const {placement} of batch) placement?.firstToken();
    for (let n = 0; n < 4; n++) track(harness, harness.work('recipe-advice'));
    await harness.timer.advance(300);
    harness.scheduler.dispatch();
    expect(batch.some(({placement}) => placement?.signal.aborted)).toBe(false);
  });
});

describe('concurrency limits', () => {
  it('hold back a workspace without blocking others', async () => {
    const harness = new SchedulerHarness(configuration => {
      const [first] = configuration.workspaces;
      if (first !== undefined) first.limits = {concurrent: 1};
    });
    const [limited, other] = harness.configuration.workspaces;
    const work = (workspace: ParsedRequest['workspace'] | undefined) =>
      harness.work('operator-chat', {
        workspace: workspace as ParsedRequest['workspace'],
      });
    const one = track(harness, work(limited));
    const two = track(harness, work(limited));
    const three = track(harness, work(other));
    await harness.timer.advance(1);
    expect([one, two, three].map(({placement}) => placement !== undefined))
      .toMatchInlineSnapshot(`
      [
        true,
        false,
        true,
      ]
    `);
    one.placement?.release(AttemptEnd.Completed);
    await harness.timer.advance(1);
    expect(two.placement).toBeDefined();
  });
});
