import type {ServiceName} from './deployment.js';

export const SLOTS = 16;

/** State in which an upstream registers itself. */
export enum Registration {
  Ready = 'ready',
  Draining = 'draining',
  /** Its entry was removed, though it still serves. */
  Removed = 'removed',
}

/** The entry by which an upstream registers itself. */
export interface SoakEntry {
  service: ServiceName;
  address: string;
  /** Software version of its process. */
  version: string;
  state: Registration;
  seq: number;
  /** Start of its process, in Unix ms. */
  born: number;
}

export function encodeEntry(entry: SoakEntry): Buffer {
  const others = {zone: 'zone-a', slots: SLOTS, coldRemainingMs: 0};
  return Buffer.from(JSON.stringify({...entry, ...others}));
}
