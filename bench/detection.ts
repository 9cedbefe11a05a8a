import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {MemberState} from '../src/instance/index.js';
import {smallDocument} from './slope/documents.js';
import {MeasuredFleet, sleep} from './slope/measured-fleet.js';
import {median} from './slope/linear-fit.js';

const POLL_MS = 50;
const LIMIT_MS = 30_000;
const PAUSE_MS = 2_000;
const WATCH_MS = 10_000;

/** Kills an instance; returns the time until all others hold it for dead. */
async function detect(fleet: MeasuredFleet, index: number): Promise<number> {
  const router = fleet.cluster.routers[index];
  if (router === undefined) return NaN;
  const start = performance.now();
  await router.process?.kill();
  while (performance.now() - start < LIMIT_MS) {
    const states = await fleet.memberStates(router.name);
    if (states.every(state => state === MemberState.Dead)) break;
    await sleep(POLL_MS);
  }
  const took = performance.now() - start;
  await router.start();
  await fleet.waitUntilJoined();
  return took;
}

/** Pauses an instance; tells whether anybody held it for dead. */
async function isEvicted(
  fleet: MeasuredFleet,
  index: number,
): Promise<boolean> {
  const router = fleet.cluster.routers[index];
  if (router === undefined) return false;
  router.process?.pause();
  await sleep(PAUSE_MS);
  router.process?.resume();
  const end = performance.now() + WATCH_MS;
  while (performance.now() < end) {
    const states = await fleet.memberStates(router.name);
    if (states.includes(MemberState.Dead)) return true;
    await sleep(POLL_MS);
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
const times: number[] = [];
for (let index = 0; index < args.count; index++) {
  times.push(await detect(fleet, index));
}
let evictions = 0;
const pauses = Math.min(2, args.count);
for (let index = 0; index < pauses; index++) {
  if (await isEvicted(fleet, index)) evictions++;
}
await fleet.stop();
process.stdout.write(
  `crash known to all: median ${Math.round(median(times))} ms, ` +
    `worst ${Math.round(Math.max(...times))} ms (${times.length})\n` +
    `evicted after a pause of ${PAUSE_MS} ms: ${evictions} of ${pauses}\n`,
);
process.exit(0);
