import type {Place} from './simulatednetwork.js';

/** Zones of the simulated deployment and their regions. */
const REGIONS: Record<string, string> = {
  'zone-a': 'region-1',
  'zone-b': 'region-2',
  'zone-c': 'region-1',
  'zone-d': 'region-2',
  'zone-e': 'region-1',
  'zone-f': 'region-2',
};
export const ZONES = Object.keys(REGIONS);

/** Place of the instance of an index, so that the zones are equally large. */
export function placeOf(index: number): Place {
  const zone = ZONES[index % ZONES.length] ?? '';
  return {name: `entry-${index}`, zone, region: REGIONS[zone] ?? ''};
}
