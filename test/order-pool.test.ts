import {err, ok} from 'neverthrow';
import {pino} from 'pino';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {Deployment, exampleOf} from '../bench/deployment.js';
import {documentSchema} from '../src/config/index.js';
import type {HeldLease} from '../src/lease/index.js';
import {
  OrderManager,
  type EngineOrder,
  type EngineState,
  type OrderFailure,
} from '../src/order/index.js';
import {ManualTimer} from '../src/timer/index.js';
import {Directory, type Upstream} from '../src/upstream/index.js';

const ROUND_MS = 1_000;
const FENCING = 7;

/**
 * An [[OrderManager]] with a lease and engines without models. Each test
 * changes one condition for sending orders.
 */
class Fixture {
  readonly timer = new ManualTimer();
  readonly sent: EngineOrder[] = [];
  readonly directory = new Directory('127.0.0.1');
  lease: HeldLease | undefined = {
    pool: 'runners',
    fencing: FENCING,
    heldSince: -60_000,
    validUntil: 60_000,
  };
  /** Called before the fake client returns an engine's state. */
  beforeState = (): Promise<void> => Promise.resolve();
  highestFencing = -1;
  failure?: OrderFailure;
  private readonly manager: OrderManager;

  constructor() {
    const document = documentSchema.parse(exampleOf(Deployment.Nilecoil));
    this.directory.apply(document);
    this.manager = new OrderManager({
      leases: {
        contend: () => undefined,
        held: () => this.lease,
      },
      directory: this.directory,
      client: {
        state: () => this.state(),
        order: (upstream, order) => this.order(upstream, order),
      },
      timer: this.timer,
      logger: pino({level: 'silent'}),
      instance: 'instance-1',
      roundMs: ROUND_MS,
    });
    this.manager.apply(document);
  }

  async stop(): Promise<void> {
    const stopped = this.manager.stop();
    await this.timer.advance(10_000);
    await stopped;
    await this.directory.close();
  }

  private async state() {
    await this.beforeState();
    const state: EngineState = {
      loaded: [],
      pending: [],
      failed: [],
      modelSlots: 2,
      fencing: this.highestFencing,
      asked: {},
    };
    return ok(state);
  }

  private order(_upstream: Upstream, order: EngineOrder) {
    this.sent.push(order);
    const failure = this.failure;
    return Promise.resolve(
      failure === undefined ? ok(undefined) : err(failure),
    );
  }
}

let fixture: Fixture;

beforeEach(() => {
  fixture = new Fixture();
});

afterEach(() => fixture.stop());

const sentInOneRound = async () => {
  await fixture.timer.advance(ROUND_MS);
  return fixture.sent.map(({type, fencing}) => `${type} ${fencing}`);
};

describe('a round of reconciling a pool', () => {
  it('sends the planned orders with the fencing number', async () => {
    expect(await sentInOneRound()).toEqual(['loadModel 7', 'loadModel 7']);
  });

  it('sends nothing without the lease', async () => {
    fixture.lease = undefined;
    expect(await sentInOneRound()).toEqual([]);
  });

  it('sends nothing if the lease ends during the reads', async () => {
    fixture.beforeState = () => {
      fixture.lease = undefined;
      return Promise.resolve();
    };
    expect(await sentInOneRound()).toEqual([]);
  });

  it('sends nothing if the lease was regranted during the reads', async () => {
    const gained = {...fixture.lease!, fencing: 9};
    fixture.beforeState = () => {
      fixture.lease = gained;
      return Promise.resolve();
    };
    expect(await sentInOneRound()).toEqual([]);
  });

  it('sends nothing if the lease could end before the order does', async () => {
    fixture.lease = {...fixture.lease!, validUntil: ROUND_MS + 900};
    expect(await sentInOneRound()).toEqual([]);
  });

  it('waits until orders of the previous holder have timed out', async () => {
    fixture.lease = {...fixture.lease!, heldSince: 500};
    expect(await sentInOneRound()).toEqual([]);
    expect(await sentInOneRound()).toHaveLength(2);
  });

  it('discards a plan that is based on old states', async () => {
    fixture.beforeState = () => fixture.timer.sleep(2_500);
    await fixture.timer.advance(3_000);
    expect(await sentInOneRound()).toEqual([]);
  });

  it('sends nothing to engines that saw a newer fencing number', async () => {
    fixture.highestFencing = FENCING + 1;
    expect(await sentInOneRound()).toEqual([]);
  });

  it('stops when an engine refuses the fencing number as stale', async () => {
    fixture.failure = {type: 'staleFencing', upstream: 'runner-1'};
    expect(await sentInOneRound()).toHaveLength(1);
  });
});
