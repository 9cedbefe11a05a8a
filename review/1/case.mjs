/**
 * All machines lose power for 1.3 s near the end of a release, while runners of
 * the old software version, which have left, still write their last streams.
 * Clients notice a gap and take their streams up.
 */
import {configuration, publish} from '../lib/config.mjs';
import {BOUNDS, Gateway, loopback, sleep} from '../lib/gateway.mjs';
import {SilentProxy} from '../lib/proxy.mjs';
import {Record, runCase, TROUBLE} from '../lib/record.mjs';
import {Runner} from '../lib/runner.mjs';
import {Store} from '../lib/store.mjs';
import {openStream, retryDelayMs, streamOf} from '../lib/stream.mjs';

const MACHINES = 3;
const STREAMS = 24;
/** Pause between two runners of the release. */
const RELEASE_GAP_MS = 1_000;
const EVENTS = 40;
const EVENT_PAUSE_MS = 200;
/** A client's longest gap: two seconds, or eight times the pause of 300 ms. */
const GAP_MS = 2_400;
const CLIENT_RETRIES = 1;
/** `down_s` of a final fault in the site file. */
const DOWN_MS = 1_300;
/** From the rule: more streams of two versions than this break it. */
const MOST_MIXED = 2;

const record = new Record(import.meta.url);
const store = new Store();
const runners = [];
const gateways = [];
const proxies = [];

async function startRunner(id, index, version) {
  const host = loopback(10 + index);
  const options = {id, service: 'engines', host, slots: 64, version};
  const runner = new Runner(store, options);
  runner.respond = streamOf(runner, EVENTS, EVENT_PAUSE_MS);
  runners.push(await runner.start());
  record.note(`runner ${id} of version ${version} started`);
  return runner;
}

function note(stream, what) {
  const {id, status, error, events, versions} = stream;
  record.note(
    `${what} ${id}: ${status ?? error}, events ${events.at(0) ?? '-'} to ` +
      `${events.at(-1) ?? '-'} of ${[...versions].join(' and ') || 'none'}`,
  );
}

/** Takes a stream up; resolves to the versions of all of its events. */
async function takeUp(stream, index) {
  const versions = new Set(stream.versions);
  for (let attempt = 0; attempt <= CLIENT_RETRIES; attempt++) {
    const gateway = gateways[(index + attempt + 1) % MACHINES];
    const next = openStream(gateway, stream.path, {after: stream, record});
    await next.done;
    note(next, `${gateway.name} answered the take-up of ${stream.id} as`);
    for (const version of next.versions) versions.add(version);
    if (next.status === 200) break;
    await sleep(retryDelayMs(next));
  }
  return versions;
}

async function body() {
  const address = await store.listen(loopback(1));
  const route = configuration(1).routes.find(({name}) => name === 'spec');
  Object.assign(route, {
    timeoutMs: 12_000,
    targetLatencyMs: 500,
    gapTargetMs: 300,
  });
  publish(store, configuration(1, {routes: [route]}));
  const old = [
    await startRunner('i-0', 0, 'v1'),
    await startRunner('i-1', 1, 'v1'),
  ];
  // The first half of the service was replaced before.
  await startRunner('i-2', 2, 'v2');
  await startRunner('i-3', 3, 'v2');
  for (let index = 0; index < MACHINES; index++) {
    gateways.push(await Gateway.open(index, address));
    proxies.push(await SilentProxy.open(loopback(90 + index), gateways[index]));
  }
  for (const gateway of gateways) {
    if (!(await gateway.ready())) return undefined;
  }
  await sleep(BOUNDS.stableWindowMs);
  const streams = Array.from({length: STREAMS}, (_, index) =>
    openStream(proxies[index % MACHINES], `/spec/${index}`, {record}),
  );
  await sleep(1_000);
  record.note('a release replaces the second half by version v2');
  for (const [index, runner] of old.entries()) {
    await startRunner(`i-${4 + index}`, 4 + index, 'v2');
    runner.remove();
    record.note(`the entry of ${runner.id} is removed; it serves on`);
    await sleep(RELEASE_GAP_MS);
  }
  if (streams.some(({events}) => events.length === 0)) return undefined;
  if (TROUBLE) {
    record.note('all machines lose power');
    for (const proxy of proxies) proxy.silence();
    for (const gateway of gateways) await gateway.signal('SIGKILL');
    setTimeout(() => {
      for (const gateway of gateways) gateway.start();
      record.note('all machines start again');
    }, DOWN_MS);
  }
  await sleep(GAP_MS);
  record.note('the clients leave and take their streams up');
  for (const stream of streams) {
    stream.leave();
    note(stream, 'the client left');
  }
  const versions = await Promise.all(streams.map(takeUp));
  const mixed = versions.filter(({size}) => size > 1).length;
  const begun = streams.filter(stream => stream.versions.has('v1')).length;
  const summary =
    `${mixed} streams hold events of two versions, ` +
    `of ${begun} that began at v1`;
  record.note(summary);
  console.log(summary);
  return mixed <= MOST_MIXED;
}

await runCase(record, body, async () => {
  for (const proxy of proxies) proxy.close();
  for (const gateway of gateways) await gateway.end();
  record.runs(runners);
  for (const runner of runners) runner.stop();
  store.close();
});
