/**
 * Another writer leaves entries among those of the runners that name no runner
 * to use. Three machines serve all the while, and the platform restarts what
 * ends by itself, as it does.
 */
import {Balancer} from '../lib/balancer.mjs';
import {call} from '../lib/client.mjs';
import {configuration, publish} from '../lib/config.mjs';
import {BOUNDS, Gateway, loopback, sleep} from '../lib/gateway.mjs';
import {Record, runCase, TROUBLE} from '../lib/record.mjs';
import {Runner} from '../lib/runner.mjs';
import {Store} from '../lib/store.mjs';

const MACHINES = 3;
const SECONDS = 45;
/** Pause between two requests to the system; each machine gets two a second. */
const PAUSE_MS = 160;
const RESTART_DELAY_MS = 500;
/** From the rule: ends by themselves on so many machines, so often. */
const FAULT_MACHINES = 2;
const FAULT_ENDS = 3;
/** An end within a second of a disruption, such as a start, isn't counted. */
const EXCUSED_MS = 1_000;

const record = new Record(import.meta.url);
const store = new Store();
const runners = [];
const gateways = [];
let balancer;
let isOver = false;

async function keepRunning(gateway) {
  while (!isOver) {
    await gateway.exited;
    if (isOver) return;
    record.note(
      `${gateway.name} ended by itself: ` +
        JSON.stringify(gateway.ownEnds.at(-1)),
    );
    await sleep(RESTART_DELAY_MS);
    if (!isOver) gateway.start();
  }
}

async function send(gateway, path, method) {
  const result = await call(gateway, {path, method});
  record.answer(result, gateway.name);
  return result;
}

/** Entries of another writer, as the pages describe them, by key. */
function foreignEntries() {
  const entry = {
    service: 'plant',
    address: `${loopback(60)}:8080`,
    zone: 'zone-a',
    version: 'v1',
    slots: 6,
    state: 'ready',
    coldRemainingMs: 0,
    seq: 1,
    born: Date.now(),
  };
  const text = value => Buffer.from(JSON.stringify(value));
  return {
    'foreign-missing-field': text({...entry, slots: undefined}),
    'foreign-type': text({...entry, slots: 'six'}),
    'foreign-state': text({...entry, state: 'resting'}),
    'foreign-service': text({...entry, service: 'unnamed'}),
    'foreign-bytes': Buffer.from([0xff, 0xfe, 0x00, 0x80, 0x7b]),
    'foreign-address': text({...entry, address: `${loopback(60)}:80800`}),
  };
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
  for (let index = 0; index < MACHINES; index++) {
    gateways.push(await Gateway.open(index, address));
  }
  for (const gateway of gateways) {
    if (!(await gateway.ready())) return undefined;
    void keepRunning(gateway);
  }
  balancer = new Balancer(gateways, record);
  await sleep(BOUNDS.stableWindowMs);
  if (TROUBLE) {
    for (const [key, value] of Object.entries(foreignEntries())) {
      const isText = value[0] === '{'.charCodeAt(0);
      const text = value.toString(isText ? 'utf8' : 'hex');
      record.note(`another writer wrote servers/${key}: ${text}`);
      store.append('keyed.servers', key, value);
    }
  }
  const sent = [];
  const until = Date.now() + SECONDS * 1_000;
  for (let count = 0; Date.now() < until; count++) {
    const gateway = balancer.pick(count);
    const isOrder = count % 2 === 0;
    const path = `/${isOrder ? 'order' : 'look'}/${count}`;
    sent.push(send(gateway, path, isOrder ? 'POST' : 'GET'));
    await sleep(PAUSE_MS);
  }
  const results = await Promise.all(sent);
  const served = results.filter(({status}) => status === 200).length;
  const all = gateways.map(({ownEnds}) => ownEnds.length);
  const ends = gateways.map(
    ({ownEnds}) => ownEnds.filter(({afterMs}) => afterMs > EXCUSED_MS).length,
  );
  const summary =
    `${served} of ${results.length} requests served; ` +
    `ends by themselves, by machine: ${all.join(', ')}; ` +
    `of these, over 1 s after a start: ${ends.join(', ')}`;
  record.note(summary);
  console.log(summary);
  return ends.filter(count => count >= FAULT_ENDS).length < FAULT_MACHINES;
}

await runCase(record, body, async () => {
  isOver = true;
  balancer?.stop();
  for (const gateway of gateways) await gateway.end();
  record.runs(runners);
  for (const runner of runners) runner.stop();
  store.close();
});
