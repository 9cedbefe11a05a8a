import {afterEach, describe, expect, it} from 'vitest';
import {call} from '../bench/caller.js';
import {
  Cluster,
  type ProxiedStandIn,
  type RouterProcess,
} from '../bench/cluster.js';
import {demoKey, Deployment, exampleOf} from '../bench/deployment.js';
import {Process} from '../bench/process.js';
import type {ConfigurationDraft} from '../src/config/index.js';
import type {EngineState, EngineTask} from '../src/order/index.js';
import type {JournaledOrder} from '../stand-ins/index.js';

const LEASE_TERM_MS = 2_000;
/** Term, quiet period, waiting out an order, and rounds, with slack. */
const TAKEOVER_LIMIT_MS = 15_000;

type Fencing = 'enforced' | 'ignored';

/** A cluster whose engines hold nothing at first, with a weight store. */
class Placed {
  private constructor(
    readonly cluster: Cluster,
    readonly store: Process,
  ) {}

  static async start(fencing: Fencing): Promise<Placed> {
    const store = await Process.start('stand-ins/main.js', [
      '--kind=weights',
      '--behaviour={"modelBytes":20000000,"bytesPerSecond":200000000}',
    ]);
    const weightsUrl = `http://127.0.0.1:${store.listening.port}`;
    const cluster = await Cluster.start({
      document: documentWith(fencing, 3),
      routers: 2,
      flags: [
        `--lease-term-ms=${LEASE_TERM_MS}`,
        `--weights-url=${weightsUrl}`,
      ],
      behaviourOf: (_name, kind) =>
        kind === 'runner'
          ? {fencing, weightsUrl, modelSlots: 2, requireLoaded: true}
          : {},
    });
    return new Placed(cluster, store);
  }

  get engines(): ProxiedStandIn[] {
    return this.cluster.upstreams.filter(({kind}) => kind === 'runner');
  }

  async states(): Promise<EngineState[]> {
    return Promise.all(
      this.engines.map(async ({url}) => {
        const answer = await fetch(`${url}/models`);
        return (await answer.json()) as EngineState;
      }),
    );
  }

  async orders(): Promise<JournaledOrder[]> {
    const journals = await Promise.all(
      this.engines.map(async ({url}) => {
        const answer = await fetch(`${url}/orders`);
        return (await answer.json()) as JournaledOrder[];
      }),
    );
    return journals.flat().sort((a, b) => a.at - b.at);
  }

  async copiesOf(model: string): Promise<number> {
    const states = await this.states();
    return states.filter(({loaded}) =>
      loaded.some(held => held.model === model),
    ).length;
  }

  /** An engine that holds a model. */
  async engineWith(model: string): Promise<ProxiedStandIn> {
    const states = await this.states();
    const index = states.findIndex(({loaded}) =>
      loaded.some(held => held.model === model),
    );
    const engine = this.engines[index];
    if (engine === undefined) throw new Missing();
    return engine;
  }

  /** The router that gave the newest order, and the other one. */
  async holder(): Promise<[RouterProcess, RouterProcess]> {
    const sender = (await this.orders()).at(-1)?.order.sender;
    const [one, other] = this.cluster.routers;
    if (one === undefined || other === undefined) throw new Missing();
    return sender === one.name ? [one, other] : [other, one];
  }

  /** Changes the store's behaviour. */
  async setStore(behaviour: object): Promise<void> {
    await fetch(`http://127.0.0.1:${this.store.listening.port}/behaviour`, {
      method: 'PUT',
      body: JSON.stringify(behaviour),
    });
  }

  async stop(): Promise<void> {
    for (const {process} of this.cluster.routers) process?.resume();
    await this.cluster.stop();
    await this.store.kill();
  }
}

class Missing extends Error {}

function documentWith(fencing: Fencing, copies: number): ConfigurationDraft {
  const document = exampleOf(Deployment.Nilecoil);
  const pools = document.pools.map(pool =>
    pool.kind === 'runner'
      ? {
          ...pool,
          fencing,
          models: pool.models.map(model => ({...model, copies})),
        }
      : pool,
  );
  return {...document, pools};
}

/** Waits until a condition holds; returns how long it took, in ms. */
async function until(condition: () => Promise<boolean>): Promise<number> {
  const start = performance.now();
  while (!(await condition())) {
    if (performance.now() - start > 2 * TAKEOVER_LIMIT_MS) return Infinity;
    await new Promise(resolve => setTimeout(resolve, 50));
  }
  return performance.now() - start;
}

const give = (engine: ProxiedStandIn, fencing: number, task: EngineTask) =>
  fetch(`${engine.url}/orders`, {
    method: 'POST',
    body: JSON.stringify({...task, id: 'late', fencing, sender: 'former'}),
  });

/** Sends requests one after the other; returns what ends it. */
function keepAsking({url}: RouterProcess): () => Promise<string[]> {
  const stopping = new AbortController();
  const outcomes: string[] = [];
  const task = (async () => {
    for (let n = 0; !stopping.signal.aborted; n++) {
      const prompt = `Question ${n}`;
      const reply = await call({
        url,
        path: '/v1/completions',
        key: demoKey('glue-lab'),
        body: {model: 'tube-7b', stream: true, prompt},
      });
      outcomes.push(reply.outcome ?? reply.error ?? 'none');
    }
  })();
  return async () => {
    stopping.abort();
    await task;
    return outcomes;
  };
}

let placed: Placed;

afterEach(() => placed.stop());

describe.each<Fencing>(['enforced', 'ignored'])(
  'orders to engines whose fencing is %s',
  fencing => {
    it('survive a paused holder and its late orders', async () => {
      placed = await Placed.start(fencing);
      const full = async () =>
        (await placed.copiesOf('tube-7b')) >= 3 &&
        (await placed.copiesOf('spec-13b')) >= 3;
      expect(await until(full)).toBeLessThan(TAKEOVER_LIMIT_MS);

      const [former, next] = await placed.holder();
      const old = (await placed.orders()).at(-1)?.order.fencing ?? 0;
      const asked = keepAsking(next);
      former.process?.pause();
      const relocated = placed.cluster.document;
      const changed = {
        ...relocated,
        pools: relocated.pools.map(pool =>
          pool.kind === 'runner'
            ? {
                ...pool,
                models: pool.models.map(model => ({...model, copies: 4})),
              }
            : pool,
        ),
      };
      await placed.cluster.publish(changed, 1);
      const grown = async () => (await placed.copiesOf('tube-7b')) >= 4;
      expect(await until(grown)).toBeLessThan(TAKEOVER_LIMIT_MS);

      // An order of the former holder that was held up on its way.
      const victim = await placed.engineWith('tube-7b');
      const task = {type: 'unloadModel', model: 'tube-7b'} as const;
      const late = await give(victim, old, task);
      expect(late.status).toBe(fencing === 'enforced' ? 409 : 202);
      expect(await grown()).toBe(fencing === 'enforced');
      const kept = async () =>
        (await placed.copiesOf('tube-7b')) >= 4 &&
        (await placed.copiesOf('spec-13b')) >= 4;
      expect(await until(kept)).toBeLessThan(TAKEOVER_LIMIT_MS);

      former.process?.resume();
      await new Promise(resolve => setTimeout(resolve, 2 * LEASE_TERM_MS));
      expect(new Set(await asked())).toEqual(new Set(['completed']));
      const senders = (await placed.orders())
        .filter(({order}) => order.fencing > old)
        .map(({order}) => order.sender);
      expect(new Set(senders)).toEqual(new Set([next.name]));
      const numbers = (await placed.orders())
        .filter(({order}) => order.sender !== 'former')
        .map(({order}) => order.fencing);
      expect(numbers).toEqual([...numbers].sort((a, b) => a - b));
    });
  },
);

describe('orders while the weight store is down', () => {
  it('wait, and go on without unloading anything', async () => {
    placed = await Placed.start('enforced');
    await until(async () => (await placed.copiesOf('tube-7b')) >= 1);
    await placed.setStore({down: true});
    await new Promise(resolve => setTimeout(resolve, LEASE_TERM_MS));
    const during = (await placed.orders()).length;
    await new Promise(resolve => setTimeout(resolve, LEASE_TERM_MS));
    expect((await placed.orders()).length).toBe(during);
    await placed.setStore({down: false});
    // A load that failed is repeated after half a minute.
    const some = async () => (await placed.copiesOf('tube-7b')) >= 3;
    expect(await until(some)).toBeLessThan(2 * TAKEOVER_LIMIT_MS);
    const types = (await placed.orders()).map(({order}) => order.type);
    expect(types).not.toContain('unloadModel');
  });
});
