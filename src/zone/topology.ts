import type {Configuration, Link} from '../config/index.js';

/** Network distance of a zone from this instance's zone. */
export enum Distance {
  SameZone = 'same_zone',
  SameRegion = 'same_region',
  /** In another region, reached over a paid link. */
  Remote = 'remote',
}

/** Network route from this instance's zone to a zone. */
export interface Route {
  distance: Distance;
  /** One-way latency in ms. */
  oneWayMs: number;
  /** Name of the paid link that the route crosses, if any. */
  link?: string;
}

/** The part of a configuration that describes zones and links. */
export type TopologyConfiguration = Pick<Configuration, 'zones' | 'links'>;

const SAME_ZONE_ONE_WAY_MS = 0.2;
const SAME_REGION_ONE_WAY_MS = 1.5;
/** One-way latency assumed between regions without a configured link. */
const DEFAULT_REMOTE_ONE_WAY_MS = 50;

/**
 * Returns the name of a link: its two regions in alphabetical order, joined by
 * `~`, so that it is the same from both ends.
 */
export function linkName({between}: Link): string {
  return [...between].sort().join('~');
}

/** The zones and links of a configuration, with the routes from one zone. */
export class Topology {
  private readonly routes = new Map<string, Route>();
  private readonly regions = new Map<string, string>();

  constructor(localZone: string, configuration: TopologyConfiguration) {
    const localRegion = findRegion(configuration, localZone);
    for (const other of configuration.zones) {
      this.regions.set(other.name, other.region);
      const route =
        other.name === localZone
          ? {distance: Distance.SameZone, oneWayMs: SAME_ZONE_ONE_WAY_MS}
          : other.region === localRegion
            ? {distance: Distance.SameRegion, oneWayMs: SAME_REGION_ONE_WAY_MS}
            : remoteRoute(configuration, localRegion, other.region);
      this.routes.set(other.name, route);
    }
  }

  /** Returns the region of a zone; empty if the zone is not configured. */
  regionOf(zone: string): string {
    return this.regions.get(zone) ?? '';
  }

  /** Returns the route to a zone; an unknown zone counts as the local one. */
  routeTo(zone: string): Route {
    return (
      this.routes.get(zone) ?? {
        distance: Distance.SameZone,
        oneWayMs: SAME_ZONE_ONE_WAY_MS,
      }
    );
  }
}

function findRegion(configuration: TopologyConfiguration, zone: string) {
  return configuration.zones.find(({name}) => name === zone)?.region;
}

function remoteRoute(
  {links}: TopologyConfiguration,
  localRegion: string | undefined,
  otherRegion: string,
): Route {
  const link = links.find(
    ({between: [a, b]}) =>
      (a === localRegion && b === otherRegion) ||
      (b === localRegion && a === otherRegion),
  );
  if (link === undefined) {
    return {distance: Distance.Remote, oneWayMs: DEFAULT_REMOTE_ONE_WAY_MS};
  }
  const {oneWayMs} = link;
  return {distance: Distance.Remote, oneWayMs, link: linkName(link)};
}
