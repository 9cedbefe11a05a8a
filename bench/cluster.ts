import {
  documentSchema,
  type ConfigurationDraft,
  type Pool,
} from '../src/config/index.js';
import {FaultProxy} from '../stand-ins/index.js';
import {withUpstreamUrls} from './deployment.js';
import {Process} from './process.js';

/** Composition and behaviour of a cluster. */
export interface ClusterSpec {
  /** Configuration; the URLs of its upstreams are replaced. */
  document: ConfigurationDraft;
  /** Number of router processes. */
  routers: number;
  /** Additional command-line flags of every router. */
  flags?: string[];
  env?: NodeJS.ProcessEnv;
  /** Returns the behaviour of the stand-in of an upstream. */
  behaviourOf?: (upstream: string, kind: Pool['kind']) => object;
  logBehaviour?: object;
  listBehaviour?: object;
  /** Whether routers reach upstreams directly, without the proxy's delay. */
  direct?: boolean;
  /** Random source of the proxies, from 0 to 1, 1 excluded. */
  random?: () => number;
}

const PEER_SECRET = 'a-secret-shared-by-the-peers';
const OPERATOR_SECRET = 'a-secret-of-the-operators';
/** Time within which all routers together become ready. */
const READY_TIMEOUT_MS = 20_000;

/** A stand-in process with a proxy in front of it. */
export interface ProxiedStandIn {
  name: string;
  zone: string;
  kind: Pool['kind'] | 'log' | 'list';
  process: Process;
  /** Behaviour with which the process was started. */
  behaviour: object;
  /** The proxy through which routers reach the process. */
  proxy: FaultProxy;
  /** URL of the process itself, for tests and benches. */
  url: string;
}

/** A router process that its peers reach through a proxy. */
export class RouterProcess {
  process?: Process;

  constructor(
    readonly name: string,
    readonly zone: string,
    /** Address on which the router listens and from which it connects. */
    readonly host: string,
    readonly proxy: FaultProxy,
    private readonly launchProcess: (router: RouterProcess) => Promise<Process>,
  ) {}

  /** URL for callers. */
  get url(): string {
    return `http://${this.host}:${this.process?.listening.port ?? 0}`;
  }

  /** URL for operators. */
  get operatorUrl(): string {
    return `http://${this.host}:${this.process?.listening.operatorPort ?? 0}`;
  }

  /** Starts the router process, or a new one after the last has ended. */
  async start(): Promise<void> {
    this.process = await this.launchProcess(this);
    const {peerPort} = this.process.listening;
    this.proxy.setTarget(`${this.host}:${peerPort ?? 0}`);
  }

  async isReady(): Promise<boolean> {
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
 * A deployment of real processes: routers, engines, services, the log and the
 * instance list, each behind a proxy. Each router connects from a loopback
 * address of its own, so a proxy can inject faults for one router alone.
 */
export class Cluster {
  private constructor(
    readonly routers: RouterProcess[],
    readonly upstreams: ProxiedStandIn[],
    readonly log: ProxiedStandIn,
    readonly list: ProxiedStandIn,
    /** The document as published, with the URLs that routers use. */
    readonly document: ConfigurationDraft,
  ) {}

  static readonly operatorSecret = OPERATOR_SECRET;
  static readonly peerSecret = PEER_SECRET;

  static async start(spec: ClusterSpec): Promise<Cluster> {
    const {logBehaviour = {}, listBehaviour = {}} = spec;
    const log = await startProxiedStandIn(
      'log',
      'log',
      '',
      logBehaviour,
      spec.random,
    );
    const list = await startProxiedStandIn(
      'list',
      'list',
      '',
      listBehaviour,
      spec.random,
    );
    const upstreams = await startUpstreams(spec);
    const upstreamsByName = new Map(upstreams.map(item => [item.name, item]));
    const document = withUpstreamUrls(spec.document, name => {
      const item = upstreamsByName.get(name);
      return (spec.direct === true ? item?.url : item?.proxy.url) ?? '';
    });
    const routers = await createRouters(spec, log, list);
    const cluster = new Cluster(routers, upstreams, log, list, document);
    await cluster.publish(document, 0);
    await Promise.all(routers.map(router => router.start()));
    await cluster.publishRouterList();
    await cluster.waitUntilReady();
    return cluster;
  }

  /**
   * Submits a document that is based on version `base`, and returns the
   * version that it gets if it is accepted.
   */
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

  /** Reads the journal of what an upstream's stand-in executed. */
  async journal<Entry>(target: ProxiedStandIn): Promise<Entry[]> {
    const response = await fetch(`${target.url}/journal`);
    return (await response.json()) as Entry[];
  }

  /** Starts a new process for an upstream and points its proxy at it. */
  async replaceUpstream(target: ProxiedStandIn): Promise<void> {
    const replacement = await startStandIn(target.kind, target.behaviour);
    target.process = replacement;
    const address = `127.0.0.1:${replacement.listening.port}`;
    target.url = `http://${address}`;
    target.proxy.setTarget(address);
  }

  /** Waits until every router is ready, at most [[READY_TIMEOUT_MS]]. */
  async waitUntilReady(): Promise<void> {
    const deadline = Date.now() + READY_TIMEOUT_MS;
    for (const router of this.routers) {
      while (Date.now() < deadline && !(await router.isReady())) {
        await new Promise(resolve => setTimeout(resolve, 20));
      }
    }
  }

  async stop(): Promise<void> {
    const routers = this.routers.map(router => router.process?.kill());
    const standIns = [...this.upstreams, this.log, this.list];
    await Promise.all([
      ...routers,
      ...standIns.map(({process}) => process.kill()),
    ]);
    await Promise.all([
      ...this.routers.map(({proxy}) => proxy.close()),
      ...standIns.map(({proxy}) => proxy.close()),
    ]);
  }

  /** Sets the routers as the members of the instance list. */
  private async publishRouterList(): Promise<void> {
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
  const moduleName = kind === 'runner' ? 'engine' : kind;
  return Process.start('stand-ins/main.js', [
    '--kind',
    moduleName,
    '--behaviour',
    JSON.stringify(behaviour),
  ]);
}

async function startProxiedStandIn(
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
        startProxiedStandIn(
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

/** Creates the routers and their proxies, without starting a process. */
async function createRouters(
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
        launchRouter(spec, router, routers, log, list),
      ),
    );
  }
  return routers;
}

function launchRouter(
  spec: ClusterSpec,
  router: RouterProcess,
  routers: RouterProcess[],
  log: ProxiedStandIn,
  list: ProxiedStandIn,
): Promise<Process> {
  const seeds = routers.slice(0, 3).map(({proxy}) => proxy.address);
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
