import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {Deployment, exampleOf} from './deployment.js';
import {withChangedWorkspace} from './slope/documents.js';
import {MeasuredFleet} from './slope/measured-fleet.js';

/** Faults under which publishing and upstream removal are measured. */
enum PublishFault {
  None = 'none',
  /** Two instances can't reach the log. */
  LogCut = 'log cut from two instances',
  /** Links to one instance drop 30 % of datagrams and add 100 ms of delay. */
  LossyLink = 'lossy and slow link to one instance',
  /** Half of the log's answers to appends are lost. */
  LostAppendAnswers = 'half of the answers to appends lost',
  /** One instance was killed immediately before. */
  Crash = 'one instance killed just before',
}

/** Summary of the times of one kind of measurement, in ms. */
interface TimeSummary {
  kind: string;
  count: number;
  median: number;
  p95: number;
  worst: number;
}

const DATAGRAM_LOSS_SHARE = 0.3;
const SLOW_LINK_DELAY_MS = 100;

async function injectFault(
  fleet: MeasuredFleet,
  fault: PublishFault,
): Promise<void> {
  const {cluster} = fleet;
  const [first, second] = cluster.routers;
  switch (fault) {
    case PublishFault.None:
      return;
    case PublishFault.LogCut:
      for (const router of [first, second]) {
        cluster.log.proxy.inject({blackholed: true}, router?.host);
      }
      return;
    case PublishFault.LossyLink:
      first?.proxy.inject({
        dropShare: DATAGRAM_LOSS_SHARE,
        delayMs: SLOW_LINK_DELAY_MS,
      });
      return;
    case PublishFault.LostAppendAnswers:
      return cluster.setBehaviour(cluster.log, {lostAnswerShare: 0.5});
    case PublishFault.Crash:
      return first?.process?.kill();
  }
}

async function clearFault(
  fleet: MeasuredFleet,
  fault: PublishFault,
): Promise<void> {
  const {cluster} = fleet;
  cluster.log.proxy.clearFaults();
  for (const router of cluster.routers) router.proxy.clearFaults();
  await cluster.setBehaviour(cluster.log, {lostAnswerShare: 0});
  if (fault === PublishFault.Crash) await cluster.routers[0]?.start();
  await cluster.waitUntilReady();
}

function summarize(kind: string, timesMs: number[]): TimeSummary {
  const sorted = [...timesMs].sort((a, b) => a - b);
  const percentile = (share: number) =>
    Math.round(sorted[Math.ceil(share * sorted.length) - 1] ?? NaN);
  return {
    kind,
    count: sorted.length,
    median: percentile(0.5),
    p95: percentile(0.95),
    worst: percentile(1),
  };
}

/**
 * Measures the time from the acceptance of a version until it is in force at
 * all instances.
 */
async function measurePublishes(
  fleet: MeasuredFleet,
  fault: PublishFault,
  count: number,
): Promise<TimeSummary> {
  const timesMs: number[] = [];
  await injectFault(fleet, fault);
  for (let round = 0; round < count; round++) {
    const variant = Math.floor(Math.random() * 1_000_000);
    timesMs.push(
      await fleet.publish(withChangedWorkspace(fleet.document, variant)),
    );
  }
  await clearFault(fleet, fault);
  return summarize(`in force, ${fault}`, timesMs);
}

/**
 * Measures the time from the command to take an upstream out of service until
 * no instance sends it new work.
 */
async function measureUpstreamRemovals(
  fleet: MeasuredFleet,
  fault: PublishFault,
  count: number,
): Promise<TimeSummary> {
  const timesMs: number[] = [];
  await injectFault(fleet, fault);
  for (let round = 0; round < count; round++) {
    timesMs.push(await fleet.measureUpstreamLeave(round));
  }
  await clearFault(fleet, fault);
  return summarize(`zero new work by command, ${fault}`, timesMs);
}

const args = await yargs(hideBin(process.argv))
  .scriptName('inforce')
  .option('routers', {type: 'number', default: 9})
  .option('count', {type: 'number', default: 20})
  .option('json', {type: 'boolean', default: false})
  .strict()
  .parseAsync();

const fleet = await MeasuredFleet.start(
  args.routers,
  exampleOf(Deployment.Nilecoil),
);
if (fleet === undefined) process.exit(1);
const results: TimeSummary[] = [];
for (const fault of Object.values(PublishFault)) {
  results.push(await measurePublishes(fleet, fault, args.count));
}
for (const fault of [
  PublishFault.None,
  PublishFault.LossyLink,
  PublishFault.Crash,
]) {
  results.push(await measureUpstreamRemovals(fleet, fault, args.count));
}
await fleet.stop();
if (args.json) process.stdout.write(`${JSON.stringify({results})}\n`);
else {
  for (const {kind, count, median, p95, worst} of results) {
    process.stdout.write(
      `${kind}: median ${median} ms, 95% ${p95} ms, worst ${worst} ms ` +
        `(${count})\n`,
    );
  }
}
process.exit(0);
