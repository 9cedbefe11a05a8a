import type {Configuration} from '../src/config/index.js';
import {Topology} from '../src/zone/index.js';
import {SharedLink} from '../stand-ins/index.js';
import type {Cluster} from './cluster.js';

const BYTES_PER_MEGABIT = 125_000;

/** Traffic of all links between regions. */
export interface LinkTraffic {
  /** Bytes sent over the links so far, in both directions. */
  readonly bytes: number;
}

/**
 * Simulates the network between zones. Every proxy gets the latency between
 * the zone of the router that connects and that of its target, and all traffic
 * between two regions shares the configured capacity in each direction.
 */
export function simulateLinks(
  cluster: Cluster,
  configuration: Configuration,
): LinkTraffic {
  const pipes = new Map<string, SharedLink>();
  const regions = new Map(
    configuration.zones.map(({name, region}) => [name, region]),
  );
  // One pipe per direction; undefined where no link joins the two regions.
  const pipeOf = (from: string, to: string): SharedLink | undefined => {
    const [fromRegion = '', toRegion = ''] = [
      regions.get(from),
      regions.get(to),
    ];
    const link = configuration.links.find(
      ({between}) =>
        fromRegion !== toRegion &&
        between.includes(fromRegion) &&
        between.includes(toRegion),
    );
    if (link === undefined) return undefined;
    const existing = pipes.get(`${fromRegion}>${toRegion}`);
    const pipe =
      existing ?? new SharedLink(link.capacityMbps * BYTES_PER_MEGABIT);
    pipes.set(`${fromRegion}>${toRegion}`, pipe);
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
