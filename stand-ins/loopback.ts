/**
 * A loopback address that no other process of tests or soaks that run takes: a
 * port that one of them closes may be another one's next. `last` is its last
 * number.
 */
export function loopbackAddress(last: number): string {
  const {pid} = process;
  return `127.${10 + (Math.floor(pid / 256) % 240)}.${pid % 256}.${last}`;
}

/** Where tests listen; macOS has no other address than the usual one. */
export const LOOPBACK =
  process.platform === 'linux' ? loopbackAddress(1) : '127.0.0.1';
