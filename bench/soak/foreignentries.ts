import type {KeyedStoreStandIn} from '../../stand-ins/index.js';
import {UPSTREAMS_TOPIC, type ServiceName} from './deployment.js';
import {encodeEntry, Registration} from './registration.js';

/** Values that other writers leave, which name no upstream to use. */
const VALUES: ReadonlyArray<(sound: object) => Buffer | string> = [
  sound => JSON.stringify({...sound, address: '127.0.0.1:80800'}),
  sound => JSON.stringify({...sound, address: '127.0.0.1:0'}),
  sound => JSON.stringify({...sound, address: '999.1.1.1:80'}),
  sound => JSON.stringify({...sound, address: undefined}),
  sound => JSON.stringify({...sound, address: 'not an address'}),
  sound => JSON.stringify({...sound, state: 'other'}),
  sound => JSON.stringify({...sound, service: 'other'}),
  sound => JSON.stringify({...sound, slots: 'many', seq: 1e300}),
  sound => JSON.stringify(sound).slice(0, -1),
  () => Buffer.from([0xff, 0xfe, 0x7b, 0xc3]),
  () => `${'['.repeat(100_000)}${']'.repeat(100_000)}`,
  () => 'null',
];
let written = 0;

/** Writes an entry of another writer; `variant` chooses it, 0 to below 1. */
export function writeForeignEntry(
  log: KeyedStoreStandIn['log'],
  service: ServiceName,
  variant: number,
): void {
  const sound = JSON.parse(
    String(
      encodeEntry({
        service,
        address: '127.0.0.1:1',
        version: 'v1',
        state: Registration.Ready,
        seq: 1,
        born: Date.now(),
      }),
    ),
  ) as object;
  const value = VALUES[Math.floor(variant * VALUES.length)]?.(sound) ?? '';
  log.append(UPSTREAMS_TOPIC, `foreign-${++written}`, Buffer.from(value));
}
