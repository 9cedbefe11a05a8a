/**
 * One of four machines is partitioned from all runners for some seconds, while
 * clients, the store and the other machines still reach it.
 */
import {Balancer} from '../lib/balancer.mjs';
import {call} from '../lib/client.mjs';
import {configuration, publish} from '../lib/config.mjs';
import {BOUNDS, Gateway, loopback, sleep} from '../lib/gateway.mjs';
import {Record, runCase, TROUBLE} from '../lib/record.mjs';
import {Runner} from '../lib/runner.mjs';
import {Store} from '../lib/store.mjs';

const MACHINES = 4;
/** `for_s` of a `node_cut` in the site file. */
const CUT_MS = 8_000;
const WORK_MS = 40;
const PAUSE_MS = 25;

const record = new Record(import.meta.url);
const store = new Store();
const runners = [];
const gateways = [];
let balancer;
let isOver = false;

/** First tries of clients, each on a new connection. */
async function sendAll() {
  const tries = [];
  for (let count = 0; !isOver; count++) {
    const gateway = balancer.pick(count);
    const isOrder = count % 3 > 0;
    const path = `/${isOrder ? 'order' : 'look'}/${count}`;
    const method = isOrder ? 'POST' : 'GET';
    const answer = call(gateway, {path, method}).then(result => {
      record.answer(result, gateway.name);
      return {...result, gateway};
    });
    tries.push(answer);
    await sleep(PAUSE_MS);
  }
  return Promise.all(tries);
}

async function body() {
  const address = await store.listen(loopback(1));
  publish(store, configuration(1));
  for (let index = 0; index < 3; index++) {
    const host = loopback(10 + index);
    const respond = async (run, response) => {
      await sleep(WORK_MS);
      runner.whole(run, response);
    };
    const id = `i-${index}`;
    const runner = new Runner(store, {id, service: 'plant', host, respond});
    runners.push(await runner.start());
  }
  for (let index = 0; index < MACHINES; index++) {
    gateways.push(await Gateway.open(index, address));
  }
  for (const gateway of gateways) {
    if (!(await gateway.ready())) return undefined;
  }
  balancer = new Balancer(gateways, record);
  const load = sendAll();
  await sleep(BOUNDS.stableWindowMs);
  const [cut] = gateways;
  const cutAt = Date.now();
  if (TROUBLE) {
    record.note(`${cut.name} is partitioned from all runners`);
    for (const runner of runners) runner.cut(cut.host);
  }
  await sleep(CUT_MS);
  const healedAt = Date.now();
  for (const runner of runners) runner.heal(cut.host);
  record.note('the partition is over');
  isOver = true;
  const judged = (await load).filter(
    ({sentAt}) =>
      sentAt > cutAt + BOUNDS.stableWindowMs && sentAt < healedAt - 1_000,
  );
  const there = judged.filter(({gateway}) => gateway === cut);
  const elsewhere = judged.filter(({gateway}) => gateway !== cut);
  const isServed = ({status, complete}) => status === 200 && complete;
  const failedThere = there.filter(result => !isServed(result)).length;
  const share = tries => tries.filter(isServed).length / (tries.length || 1);
  const shareThere = there.length === 0 ? 1 : share(there);
  const summary =
    `${judged.length} first tries judged; at the machine that is cut off ` +
    `${there.length - failedThere} of ${there.length} served, elsewhere ` +
    `${(100 * share(elsewhere)).toFixed(1)} in 100`;
  record.note(summary);
  console.log(summary);
  if (share(elsewhere) < 0.9) return undefined;
  const isServedLess = shareThere < (2 / 3) * share(elsewhere);
  return !(isServedLess && failedThere > 10 + judged.length / 50);
}

await runCase(record, body, async () => {
  isOver = true;
  balancer?.stop();
  for (const gateway of gateways) await gateway.end();
  record.runs(runners);
  for (const runner of runners) runner.stop();
  store.close();
});
