import {
  documentSchema,
  type ConfigurationDraft,
  type Pool,
} from '../src/config/index.js';
import {FaultProxy} from '../stand-ins/index.js';
import {withUpstreamUrls} from './deployment.js';
import {Process} from './process.js';

/** What a cluster consists of. */
export interface ClusterSpec {
  document: ConfigurationDraft;
  /** Number of router processes. */
  routers: number;
  /** More flags for every router. */
  flags?: string[];
  env?: NodeJS.ProcessEnv;
  /** Behaviour of a stand-in, by the upstream's name. */
  behaviourOf?: (upstream: string, kind: Pool['kind']) => object;
  logBehaviour?: object;
  listBehaviour?: object;
  /** Whether routers reach stand-ins without a proxy, to save its time. */
  direct?: boolean;
  /** Source of the proxies' randomness. */
  random?: () => number;
}

const PEER_SECRET = 'a-secret-shared-by-the-peers';
const OPERATOR_SECRET = 'a-secret-of-the-operators';
const READY_TIMEOUT_MS = 20_000;

/** A stand-in process with a proxy in front of it. */
export interface ProxiedStandIn {
  name: string;
  zone: string;
  kind: Pool['kind'] | 'log' | 'list';
  process: Process;
  /** Behaviour it was started with. */
  behaviour: object;
  /** What routers see. */
  proxy: FaultProxy;
  /** Direct access for the test itself. */
  url: string;
}

/** A router process, whose peers reach it through a proxy. */
export class RouterProcess {
  process?: Process;

  constructor(
    readonly name: string,
    readonly zone: string,
    /** Address the router binds and connects from. */
    readonly host: string,
    readonly proxy: FaultProxy,
    private readonly launch: (router: RouterProcess) => Promise<Process>,
  ) {}

  /** URL for callers. */
  get url(): string {
    return `http://${this.host}:${this.process?.listening.port ?? 0}`;
  }

  /** URL for operators. */
  get operatorUrl(): string {
    return `http://${this.host}:${this.process?.listening.operatorPort ?? 0}`;
  }

  /** Starts the router, or a new one in its place. */
  async start(): Promise<void> {
    this.process = await this.launch(this);
    const {peerPort} = this.process.listening;
    this.proxy.setTarget(`${this.host}:${peerPort ?? 0}`);
  }

  async ready(): Promise<boolean> {
    try {
      const answer = await fetch(`${this.url}/readyz`, {
        signal: AbortSignal.timeout(1_000),
      });
      return answer.ok;
    } catch {
      return false;
    }
  }
}

/**
 * Real processes for every part of a deployment: routers, engines, services,
 * log and list, with a proxy in front of each. Routers are told apart by the
 * loopback address they connect from, so a proxy can fail them one by one.
 */
export class Cluster {
  private constructor(
    readonly routers: RouterProcess[],
    readonly upstreams: ProxiedStandIn[],
    readonly log: ProxiedStandIn,
    readonly list: ProxiedStandIn,
    /** The document as published, with the proxies' URLs. */
    readonly document: ConfigurationDraft,
  ) {}

  static readonly operatorSecret = OPERATOR_SECRET;
  static readonly peerSecret = PEER_SECRET;

  static async start(spec: ClusterSpec): Promise<Cluster> {
    const {logBehaviour = {}, listBehaviour = {}} = spec;
    const log = await standIn('log', 'log', '', logBehaviour, spec.random);
    const list = await standIn('list', 'list', '', listBehaviour, spec.random);
    const upstreams = await startUpstreams(spec);
    const byName = new Map(upstreams.map(item => [item.name, item]));
    const document = withUpstreamUrls(spec.document, name => {
      const item = byName.get(name);
      return (spec.direct === true ? item?.url : item?.proxy.url) ?? '';
    });
    const routers = await prepareRouters(spec, log, list);
    const cluster = new Cluster(routers, upstreams, log, list, document);
    await cluster.publish(document, 0);
    await Promise.all(routers.map(router => router.start()));
    await cluster.listRouters();
    await cluster.waitUntilReady();
    return cluster;
  }

  /** Appends a document to the log, based on `base`, and returns its version. */
  async publish(document: unknown, base: number): Promise<number> {
    const response = await fetch(
      `${this.log.url}/streams/configuration/records`,
      {
        method: 'POST',
        body: JSON.stringify({
          type: 'submission',
          id: `bench-${base}-${Date.now()}`,
          base,
          document,
        }),
      },
    );
    const {offset} = (await response.json()) as {offset: number};
    return offset + 1;
  }

  /** Changes the behaviour of a stand-in. */
  async setBehaviour(target: ProxiedStandIn, behaviour: object): Promise<void> {
    await fetch(`${target.url}/behaviour`, {
      method: 'PUT',
      body: JSON.stringify(behaviour),
    });
  }

  /** Reads the journal of an upstream's stand-in. */
  async journal<Entry>(target: ProxiedStandIn): Promise<Entry[]> {
    const response = await fetch(`${target.url}/journal`);
    return (await response.json()) as Entry[];
  }

  /** Starts a new process in the place of an upstream's. */
  async replaceUpstream(target: ProxiedStandIn): Promise<void> {
    const fresh = await startStandIn(target.kind, target.behaviour);
    target.process = fresh;
    const address = `127.0.0.1:${fresh.listening.port}`;
    target.url = `http://${address}`;
    target.proxy.setTarget(address);
  }

  /** Waits until every router is ready. */
  async waitUntilReady(): Promise<void> {
    const end = Date.now() + READY_TIMEOUT_MS;
    for (const router of this.routers) {
      while (Date.now() < end && !(await router.ready())) {
        await new Promise(resolve => setTimeout(resolve, 20));
      }
    }
  }

  async stop(): Promise<void> {
    const routers = this.routers.map(router => router.process?.kill());
    const rest = [...this.upstreams, this.log, this.list];
    await Promise.all([...routers, ...rest.map(({process}) => process.kill())]);
    await Promise.all([
      ...this.routers.map(({proxy}) => proxy.close()),
      ...rest.map(({proxy}) => proxy.close()),
    ]);
  }

  private async listRouters(): Promise<void> {
    const instances = this.routers.map(({name, zone, proxy}) => ({
      name,
      kind: 'instance',
      state: 'live',
      zone,
      address: proxy.address,
    }));
    await fetch(`${this.list.url}/instances`, {
      method: 'PUT',
      body: JSON.stringify({instances}),
    });
  }
}

function startStandIn(
  kind: ProxiedStandIn['kind'],
  behaviour: object,
): Promise<Process> {
  const module = kind === 'runner' ? 'engine' : kind;
  return Process.start('stand-ins/main.js', [
    '--kind',
    module,
    '--behaviour',
    JSON.stringify(behaviour),
  ]);
}

async function standIn(
  kind: ProxiedStandIn['kind'],
  name: string,
  zone: string,
  behaviour: object,
  random?: () => number,
): Promise<ProxiedStandIn> {
  const process = await startStandIn(kind, behaviour);
  const proxy = await FaultProxy.open('127.0.0.1', random);
  const target = `127.0.0.1:${process.listening.port}`;
  proxy.setTarget(target);
  const url = `http://${target}`;
  return {name, zone, kind, process, behaviour, proxy, url};
}

async function startUpstreams(spec: ClusterSpec): Promise<ProxiedStandIn[]> {
  const {pools} = documentSchema.parse(spec.document);
  return Promise.all(
    pools.flatMap(pool =>
      pool.upstreams.map(({name, zone}) =>
        standIn(
          pool.kind,
          name,
          zone,
          spec.behaviourOf?.(name, pool.kind) ?? {},
          spec.random,
        ),
      ),
    ),
  );
}

async function prepareRouters(
  spec: ClusterSpec,
  log: ProxiedStandIn,
  list: ProxiedStandIn,
): Promise<RouterProcess[]> {
  const zones = spec.document.zones;
  const routers: RouterProcess[] = [];
  for (let index = 0; index < spec.routers; index++) {
    const zone = zones[index % zones.length]?.name ?? '';
    const host = `127.0.1.${index + 1}`;
    const proxy = await FaultProxy.open(`127.0.2.${index + 1}`, spec.random);
    routers.push(
      new RouterProcess(`router-${index + 1}`, zone, host, proxy, router =>
        launch(spec, router, routers, log, list),
      ),
    );
  }
  return routers;
}

function launch(
  spec: ClusterSpec,
  router: RouterProcess,
  all: RouterProcess[],
  log: ProxiedStandIn,
  list: ProxiedStandIn,
): Promise<Process> {
  const seeds = all.slice(0, 3).map(({proxy}) => proxy.address);
  const flags = {
    instance: router.name,
    zone: router.zone,
    host: router.host,
    advertise: router.proxy.address,
    port: 0,
    'peer-port': 0,
    'operator-port': 0,
    'log-url': log.proxy.url,
    'list-url': list.proxy.url,
    seeds: seeds.join(','),
    'log-level': 'warn',
  };
  const args = Object.entries(flags).map(
    ([name, value]) => `--${name}=${value}`,
  );
  return Process.start(
    'src/cli/main.js',
    ['serve', ...args, ...(spec.flags ?? [])],
    {
      GYPSUMCOURSE_PEER_SECRETS: PEER_SECRET,
      GYPSUMCOURSE_OPERATOR_SECRET: OPERATOR_SECRET,
      ...spec.env,
    },
  );
}
