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

/** Engines that hold nothing, and a lease; each test spoils one of them. */
class Scene {
  readonly timer = new ManualTimer();
  readonly sent: EngineOrder[] = [];
  readonly directory = new Directory('127.0.0.1');
  lease: HeldLease | undefined = {
    pool: 'runners',
    fencing: FENCING,
    heldSince: -60_000,
    validUntil: 60_000,
  };
  /** Called before the state of an engine is answered. */
  whileReading = (): Promise<void> => Promise.resolve();
  seen = -1;
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
    await this.whileReading();
    const state: EngineState = {
      loaded: [],
      pending: [],
      failed: [],
      modelSlots: 2,
      fencing: this.seen,
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

let scene: Scene;

beforeEach(() => {
  scene = new Scene();
});

afterEach(() => scene.stop());

const sentInOneRound = async () => {
  await scene.timer.advance(ROUND_MS);
  return scene.sent.map(({type, fencing}) => `${type} ${fencing}`);
};

describe('a round of orders', () => {
  it('sends what was planned, with the fencing number', async () => {
    expect(await sentInOneRound()).toEqual(['loadModel 7', 'loadModel 7']);
  });

  it('sends nothing without the lease', async () => {
    scene.lease = undefined;
    expect(await sentInOneRound()).toEqual([]);
  });

  it('sends nothing when the lease ends while it reads', async () => {
    scene.whileReading = () => {
      scene.lease = undefined;
      return Promise.resolve();
    };
    expect(await sentInOneRound()).toEqual([]);
  });

  it('sends nothing when another grant was gained while it reads', async () => {
    const gained = {...scene.lease!, fencing: 9};
    scene.whileReading = () => {
      scene.lease = gained;
      return Promise.resolve();
    };
    expect(await sentInOneRound()).toEqual([]);
  });

  it('sends nothing that the term might not outlast', async () => {
    scene.lease = {...scene.lease!, validUntil: ROUND_MS + 900};
    expect(await sentInOneRound()).toEqual([]);
  });

  it('waits out an order of the holder before', async () => {
    scene.lease = {...scene.lease!, heldSince: 500};
    expect(await sentInOneRound()).toEqual([]);
    expect(await sentInOneRound()).toHaveLength(2);
  });

  it('drops a plan that rests on old readings', async () => {
    scene.whileReading = () => scene.timer.sleep(2_500);
    await scene.timer.advance(3_000);
    expect(await sentInOneRound()).toEqual([]);
  });

  it('sends nothing to engines that have seen a newer number', async () => {
    scene.seen = FENCING + 1;
    expect(await sentInOneRound()).toEqual([]);
  });

  it('ends when an engine refuses its number as old', async () => {
    scene.failure = {type: 'staleFencing', upstream: 'runner-1'};
    expect(await sentInOneRound()).toHaveLength(1);
  });
});
