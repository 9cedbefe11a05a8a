import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {Deployment, exampleOf} from './deployment.js';
import {withChangedWorkspace} from './slope/documents.js';
import {MeasuredFleet} from './slope/measured-fleet.js';

/** A fault during a publish. */
enum Fault {
  None = 'none',
  /** Two of the instances can't reach the log. */
  LogCut = 'log cut from two instances',
  /** One instance loses a third of its datagrams, and has slow links. */
  LossyLink = 'lossy and slow link to one instance',
  /** Answers of the log to appends are lost. */
  LostAnswers = 'half of the answers to appends lost',
  /** One instance was killed just before. */
  Crash = 'one instance killed just before',
}

/** Times of one kind of run, in ms. */
interface Times {
  kind: string;
  count: number;
  median: number;
  p95: number;
  worst: number;
}

const LOSS_SHARE = 0.3;
const SLOW_MS = 100;

async function cause(fleet: MeasuredFleet, fault: Fault): Promise<void> {
  const {cluster} = fleet;
  const [first, second] = cluster.routers;
  switch (fault) {
    case Fault.None:
      return;
    case Fault.LogCut:
      for (const router of [first, second]) {
        cluster.log.proxy.inject({blackholed: true}, router?.host);
      }
      return;
    case Fault.LossyLink:
      first?.proxy.inject({dropShare: LOSS_SHARE, delayMs: SLOW_MS});
      return;
    case Fault.LostAnswers:
      return cluster.setBehaviour(cluster.log, {lostAnswerShare: 0.5});
    case Fault.Crash:
      return first?.process?.kill();
  }
}

async function mend(fleet: MeasuredFleet, fault: Fault): Promise<void> {
  const {cluster} = fleet;
  cluster.log.proxy.clearFaults();
  for (const router of cluster.routers) router.proxy.clearFaults();
  await cluster.setBehaviour(cluster.log, {lostAnswerShare: 0});
  if (fault === Fault.Crash) await cluster.routers[0]?.start();
  await cluster.waitUntilReady();
}

function summarize(kind: string, times: number[]): Times {
  const sorted = [...times].sort((a, b) => a - b);
  const at = (share: number) =>
    Math.round(sorted[Math.ceil(share * sorted.length) - 1] ?? NaN);
  return {
    kind,
    count: sorted.length,
    median: at(0.5),
    p95: at(0.95),
    worst: at(1),
  };
}

async function publishes(
  fleet: MeasuredFleet,
  fault: Fault,
  count: number,
): Promise<Times> {
  const times: number[] = [];
  await cause(fleet, fault);
  for (let round = 0; round < count; round++) {
    const number = Math.floor(Math.random() * 1_000_000);
    times.push(
      await fleet.publish(withChangedWorkspace(fleet.document, number)),
    );
  }
  await mend(fleet, fault);
  return summarize(`in force, ${fault}`, times);
}

/** Times until no instance sends an upstream new work, and until all do again. */
async function departures(
  fleet: MeasuredFleet,
  fault: Fault,
  count: number,
): Promise<Times> {
  const times: number[] = [];
  await cause(fleet, fault);
  for (let round = 0; round < count; round++) {
    times.push(await fleet.measureUpstreamLeave(round));
  }
  await mend(fleet, fault);
  return summarize(`zero new work by command, ${fault}`, times);
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
const results: Times[] = [];
for (const fault of Object.values(Fault)) {
  results.push(await publishes(fleet, fault, args.count));
}
for (const fault of [Fault.None, Fault.LossyLink, Fault.Crash]) {
  results.push(await departures(fleet, fault, args.count));
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
