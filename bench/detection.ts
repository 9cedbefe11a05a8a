import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {MemberState} from '../src/instance/index.js';
import {smallDocument} from './slope/documents.js';
import {MeasuredFleet, sleep} from './slope/measured-fleet.js';
import {median} from './slope/linear-fit.js';

const POLL_INTERVAL_MS = 50;
const DETECTION_TIMEOUT_MS = 30_000;
const PAUSE_MS = 2_000;
const EVICTION_WATCH_MS = 10_000;

/**
 * Kills an instance and returns the time in ms until all others consider it
 * dead, or about [[DETECTION_TIMEOUT_MS]] if some never do. Restarts it then.
 */
async function measureDetectionMs(
  fleet: MeasuredFleet,
  index: number,
): Promise<number> {
  const router = fleet.cluster.routers[index];
  if (router === undefined) return NaN;
  const start = performance.now();
  await router.process?.kill();
  while (performance.now() - start < DETECTION_TIMEOUT_MS) {
    const states = await fleet.memberStates(router.name);
    if (states.every(state => state === MemberState.Dead)) break;
    await sleep(POLL_INTERVAL_MS);
  }
  const elapsedMs = performance.now() - start;
  await router.start();
  await fleet.waitUntilJoined();
  return elapsedMs;
}

/**
 * Pauses an instance and returns whether any other considered it dead within
 * [[EVICTION_WATCH_MS]] after it resumed.
 */
async function isEvictedAfterPause(
  fleet: MeasuredFleet,
  index: number,
): Promise<boolean> {
  const router = fleet.cluster.routers[index];
  if (router === undefined) return false;
  router.process?.pause();
  await sleep(PAUSE_MS);
  router.process?.resume();
  const watchEnd = performance.now() + EVICTION_WATCH_MS;
  while (performance.now() < watchEnd) {
    const states = await fleet.memberStates(router.name);
    if (states.includes(MemberState.Dead)) return true;
    await sleep(POLL_INTERVAL_MS);
  }
  return false;
}

const args = await yargs(hideBin(process.argv))
  .scriptName('detection')
  .option('routers', {type: 'number', default: 9})
  .option('count', {type: 'number', default: 4})
  .strict()
  .parseAsync();

const fleet = await MeasuredFleet.start(args.routers, smallDocument());
if (fleet === undefined) process.exit(1);
const timesMs: number[] = [];
for (let index = 0; index < args.count; index++) {
  timesMs.push(await measureDetectionMs(fleet, index));
}
let evictions = 0;
const pauses = Math.min(2, args.count);
for (let index = 0; index < pauses; index++) {
  if (await isEvictedAfterPause(fleet, index)) evictions++;
}
await fleet.stop();
process.stdout.write(
  `crash known to all: median ${Math.round(median(timesMs))} ms, ` +
    `worst ${Math.round(Math.max(...timesMs))} ms (${timesMs.length})\n` +
    `evicted after a pause of ${PAUSE_MS} ms: ${evictions} of ${pauses}\n`,
);
process.exit(0);
