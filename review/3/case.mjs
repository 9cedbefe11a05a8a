/**
 * A machine loses power while it passes streams on. A release to the next
 * software version begins before its clients notice that; they take their
 * streams up at the other machines.
 */
import {configuration, publish} from '../lib/config.mjs';
import {BOUNDS, Gateway, loopback, sleep} from '../lib/gateway.mjs';
import {SilentProxy} from '../lib/proxy.mjs';
import {Record, runCase, TROUBLE} from '../lib/record.mjs';
import {Runner} from '../lib/runner.mjs';
import {Store} from '../lib/store.mjs';
import {openStream, retryDelayMs, streamOf} from '../lib/stream.mjs';

const STREAMS = 20;
const EVENTS = 40;
const EVENT_PAUSE_MS = 200;
/** A client's longest gap: two seconds, or eight times the pause of 300 ms. */
const GAP_MS = 2_400;
/** From the loss of power until runners of the next version start. */
const RELEASE_AFTER_MS = 1_000;
const CLIENT_RETRIES = 1;
const DARK_MS = 3_500;

const record = new Record(import.meta.url);
const store = new Store();
const runners = [];
const gateways = [];
let proxy;

async function startRunner(id, index, version) {
  const host = loopback(10 + index);
  const options = {id, service: 'engines', host, slots: 64, version};
  const runner = new Runner(store, options);
  runner.respond = streamOf(runner, EVENTS, EVENT_PAUSE_MS);
  runners.push(await runner.start());
  record.note(`runner ${id} of version ${version} started`);
}

function note(stream, what) {
  const {status, error, events} = stream;
  record.note(
    `${what} ${stream.id}: ${status ?? error}, events ` +
      `${events.at(0) ?? '-'} to ${events.at(-1) ?? '-'}`,
  );
}

/** Takes a stream up again; resolves to whether it went on. */
async function takeUp(stream, index) {
  const lastEvent = stream.events.at(-1);
  for (let attempt = 0; attempt <= CLIENT_RETRIES; attempt++) {
    const gateway = gateways[1 + ((index + attempt) % 2)];
    const next = openStream(gateway, stream.path, {after: stream, record});
    await next.done;
    note(next, `${gateway.name} answered the take-up of ${stream.id} as`);
    if (next.status === 200) return next.events.at(-1) > lastEvent;
    await sleep(retryDelayMs(next));
  }
  return false;
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
  for (let index = 0; index < 3; index++) {
    await startRunner(`i-${index}`, index, 'v1');
  }
  for (let index = 0; index < 3; index++) {
    gateways.push(await Gateway.open(index, address));
  }
  for (const gateway of gateways) {
    if (!(await gateway.ready())) return undefined;
  }
  await sleep(BOUNDS.stableWindowMs);
  const [lost, ...others] = gateways;
  proxy = await SilentProxy.open(loopback(90), lost);
  const streams = Array.from({length: STREAMS}, (_, index) =>
    openStream(proxy, `/spec/${index}`, {record}),
  );
  await sleep(1_500);
  if (streams.some(({events}) => events.length === 0)) return undefined;
  if (TROUBLE) {
    record.note(`${lost.name} loses power`);
    proxy.silence();
    await lost.signal('SIGKILL');
    setTimeout(() => {
      lost.start();
      record.note(`${lost.name} starts again`);
    }, DARK_MS);
  }
  await sleep(RELEASE_AFTER_MS);
  record.note('a release to version v2 begins');
  await startRunner('i-3', 3, 'v2');
  await sleep(GAP_MS - RELEASE_AFTER_MS);
  record.note('the clients leave and take their streams up');
  for (const stream of streams) {
    stream.leave();
    note(stream, 'the client left');
  }
  const fresh = streams.map((_, index) =>
    openStream(others[index % 2], `/spec/new-${index}`, {record}),
  );
  const wentOn = await Promise.all(streams.map(takeUp));
  await Promise.all(fresh.map(({done}) => done));
  for (const stream of fresh) note(stream, 'a new stream');
  const goes = wentOn.filter(Boolean).length / STREAMS;
  const begins = fresh.filter(({events}) => events.length > 0).length / STREAMS;
  const summary =
    `${STREAMS} streams taken up: ${(100 * goes).toFixed(0)} in 100 went on; ` +
    `of new streams, ${(100 * begins).toFixed(0)} in 100 began`;
  record.note(summary);
  console.log(summary);
  return goes >= begins / 2;
}

await runCase(record, body, async () => {
  proxy?.close();
  for (const gateway of gateways) await gateway.end();
  record.runs(runners);
  for (const runner of runners) runner.stop();
  store.close();
});
