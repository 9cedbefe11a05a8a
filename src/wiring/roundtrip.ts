/** Network round-trip time to an upstream in the same zone, in ms. */
const SAME_ZONE_ROUND_TRIP_MS = 0.4;
/** Round-trip time to another zone of the same region, in ms. */
const SAME_REGION_ROUND_TRIP_MS = 3;
/** Round-trip time assumed for any other region, in ms. */
const OTHER_REGION_ROUND_TRIP_MS = 26;

/** Where an instance is. */
export interface Location {
  /** Availability zone of the instance. */
  zone: string;
  /** Region of each availability zone. */
  regions: Record<string, string>;
}

/** Network round-trip time from an instance to a zone, in ms. */
export function roundTripMs(
  {zone: ownZone, regions}: Location,
  zone: string,
): number {
  if (zone === ownZone) return SAME_ZONE_ROUND_TRIP_MS;
  return regions[zone] === regions[ownZone]
    ? SAME_REGION_ROUND_TRIP_MS
    : OTHER_REGION_ROUND_TRIP_MS;
}
