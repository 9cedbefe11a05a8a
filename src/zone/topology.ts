import type {Configuration, Link} from '../config/index.js';

/** How far an upstream's zone is from this instance's zone. */
export enum Distance {
  SameZone = 'same_zone',
  SameRegion = 'same_region',
  /** In another region, over a paid link. */
  Remote = 'remote',
}

/** The way from this instance's zone to another zone. */
export interface Route {
  distance: Distance;
  /** One-way latency in ms. */
  oneWayMs: number;
  /** Name of the paid link on the way, if there is one. */
  link?: string;
}

/** The part of a configuration that describes places. */
export type TopologyConfiguration = Pick<Configuration, 'zones' | 'links'>;

const SAME_ZONE_MS = 0.2;
const SAME_REGION_MS = 1.5;
/** Latency assumed between regions that no configured link joins. */
const UNKNOWN_REMOTE_MS = 50;

/** Returns the name of a link, the same from both ends. */
export function linkName({between}: Link): string {
  return [...between].sort().join('~');
}

/** The places of a configuration, as seen from one zone. */
export class Topology {
  private readonly routes = new Map<string, Route>();
  private readonly regions = new Map<string, string>();

  constructor(zone: string, configuration: TopologyConfiguration) {
    const region = regionOf(configuration, zone);
    for (const other of configuration.zones) {
      this.regions.set(other.name, other.region);
      const route =
        other.name === zone
          ? {distance: Distance.SameZone, oneWayMs: SAME_ZONE_MS}
          : other.region === region
            ? {distance: Distance.SameRegion, oneWayMs: SAME_REGION_MS}
            : remoteRoute(configuration, region, other.region);
      this.routes.set(other.name, route);
    }
  }

  /** The region of a zone; empty for a zone that is not configured. */
  regionOf(zone: string): string {
    return this.regions.get(zone) ?? '';
  }

  /** The way to a zone; a zone that is not configured counts as this one. */
  routeTo(zone: string): Route {
    return (
      this.routes.get(zone) ?? {
        distance: Distance.SameZone,
        oneWayMs: SAME_ZONE_MS,
      }
    );
  }
}

function regionOf(configuration: TopologyConfiguration, zone: string) {
  return configuration.zones.find(({name}) => name === zone)?.region;
}

function remoteRoute(
  {links}: TopologyConfiguration,
  region: string | undefined,
  other: string,
): Route {
  const link = links.find(
    ({between: [a, b]}) =>
      (a === region && b === other) || (b === region && a === other),
  );
  if (link === undefined) {
    return {distance: Distance.Remote, oneWayMs: UNKNOWN_REMOTE_MS};
  }
  const {oneWayMs} = link;
  return {distance: Distance.Remote, oneWayMs, link: linkName(link)};
}
