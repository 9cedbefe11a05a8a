import type {Configuration} from '../src/config/index.js';
import {Topology} from '../src/zone/index.js';
import {SharedLink} from '../stand-ins/index.js';
import type {Cluster} from './cluster.js';

const BYTES_PER_MEGABIT = 125_000;

/** The directions of all paid links. */
export interface LinkTraffic {
  /** Bytes that went over paid links, both ways. */
  readonly bytes: number;
}

/**
 * Gives every proxy the latency between the zones of its two ends, and lets
 * all traffic between two regions share one link with a capacity each way.
 */
export function simulateLinks(
  cluster: Cluster,
  configuration: Configuration,
): LinkTraffic {
  const pipes = new Map<string, SharedLink>();
  const regions = new Map(
    configuration.zones.map(({name, region}) => [name, region]),
  );
  const pipeOf = (from: string, to: string): SharedLink | undefined => {
    const [a = '', b = ''] = [regions.get(from), regions.get(to)];
    const link = configuration.links.find(
      ({between}) => a !== b && between.includes(a) && between.includes(b),
    );
    if (link === undefined) return undefined;
    const known = pipes.get(`${a}>${b}`);
    const pipe = known ?? new SharedLink(link.capacityMbps * BYTES_PER_MEGABIT);
    pipes.set(`${a}>${b}`, pipe);
    return pipe;
  };
  for (const router of cluster.routers) {
    const topology = new Topology(router.zone, configuration);
    const others = cluster.routers.filter(other => other !== router);
    for (const target of [...cluster.upstreams, ...others]) {
      const requestPipe = pipeOf(router.zone, target.zone);
      const answerPipe = pipeOf(target.zone, router.zone);
      const {oneWayMs} = topology.routeTo(target.zone);
      target.proxy.inject(
        {
          delayMs: oneWayMs < 1 ? 0 : oneWayMs,
          ...(requestPipe === undefined ? {} : {requestLink: requestPipe}),
          ...(answerPipe === undefined ? {} : {answerLink: answerPipe}),
        },
        router.host,
      );
    }
  }
  return {
    get bytes() {
      let sum = 0;
      for (const pipe of pipes.values()) sum += pipe.bytes;
      return sum;
    },
  };
}
