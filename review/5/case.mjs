/**
 * The store carries out one of a runner's writes seconds late, its answer lost.
 * Meanwhile the runner leaves: its entry is removed, and it serves on for a while.
 */
import {call} from '../lib/client.mjs';
import {configuration, publish} from '../lib/config.mjs';
import {BOUNDS, Gateway, loopback, sleep} from '../lib/gateway.mjs';
import {Record, runCase, TROUBLE} from '../lib/record.mjs';
import {Runner} from '../lib/runner.mjs';
import {Store} from '../lib/store.mjs';

const MACHINES = 2;
/** Time after which the store carries out the write; 6 s at most. */
const LATE_MS = 5_900;
/** From the write whose answer is lost until the entry is removed. */
const REMOVED_AFTER_MS = BOUNDS.stableWindowMs + 500;
/** An entry that nobody writes is removed after three heartbeats. */
const EXPIRY_MS = 3 * 1_200;
/** Time for which the runner serves after the removal. */
const SERVES_ON_MS = 6_500;
const PAUSE_MS = 30;

const record = new Record(import.meta.url);
const store = new Store();
const runners = [];
const gateways = [];
let isOver = false;

async function sendAll() {
  const sent = [];
  for (let count = 0; !isOver; count++) {
    const gateway = gateways[count % MACHINES];
    const result = call(gateway, {path: `/order/${count}`});
    sent.push(result.then(answer => record.answer(answer, gateway.name)));
    await sleep(PAUSE_MS);
  }
  await Promise.all(sent);
}

async function body() {
  const address = await store.listen(loopback(1));
  publish(store, configuration(1));
  for (let index = 0; index < 3; index++) {
    const host = loopback(10 + index);
    const runner = new Runner(store, {
      id: `i-${index}`,
      service: 'plant',
      host,
    });
    runners.push(await runner.start());
  }
  const [leaving] = runners;
  for (let index = 0; index < MACHINES; index++) {
    const gateway = new Gateway(index, address);
    gateway.start();
    gateways.push(gateway);
  }
  for (const gateway of gateways) {
    if (!(await gateway.ready())) return undefined;
  }
  const load = sendAll();
  await sleep(BOUNDS.stableWindowMs);
  if (TROUBLE) leaving.registerLate(LATE_MS, text => record.note(text));
  else leaving.register();
  await sleep(REMOVED_AFTER_MS);
  leaving.remove();
  const acknowledgedAt = Date.now();
  record.note('the store acknowledged that the entry of i-0 is removed');
  setTimeout(
    () => leaving.expire(record),
    LATE_MS - REMOVED_AFTER_MS + EXPIRY_MS,
  );
  await sleep(SERVES_ON_MS);
  isOver = true;
  await load;
  const lateAfter = acknowledgedAt + BOUNDS.drainMs;
  const late = leaving.runs.filter(({at}) => at > lateAfter).length;
  const summary = `${late} requests reached i-0 later than drainMs after its removal`;
  record.note(summary);
  console.log(summary);
  return late === 0;
}

await runCase(record, body, async () => {
  isOver = true;
  for (const gateway of gateways) await gateway.end();
  record.runs(runners);
  for (const runner of runners) runner.stop();
  store.close();
});
