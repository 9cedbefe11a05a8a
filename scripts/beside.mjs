// Runs two gateways of this build beside one of another build, over one store in
// memory, and checks what they tell each other: presence, loads, configurations
// and leaving upstreams, also when the store returns from an older copy. For
// rolling upgrades.
//
//   node scripts/beside.mjs OTHER_BUILD      (the folder with src/ and platform/)
import {createServer} from 'node:http';
import {join, resolve} from 'node:path';
import {pathToFileURL} from 'node:url';

const HOST = '127.0.0.1';
const SETTLE_MS = 3_000;
const [otherBuild] = process.argv.slice(2);
if (otherBuild === undefined) {
  process.stderr.write('usage: node scripts/beside.mjs OTHER_BUILD\n');
  process.exit(2);
}

const sleep = ms => new Promise(done => setTimeout(done, ms));
const load = (build, path) =>
  import(pathToFileURL(join(resolve(build), path)).href);
const ownBuild = join(import.meta.dirname, '..', 'build');
const {ok} = await import('neverthrow');
const {pino} = await import('pino');

let epoch = 1;
let records = {configuration: [], upstreams: [], instances: []};
const append = (topic, key, value) =>
  records[topic].push({key, offset: records[topic].length, value});
const add = (topic, key, value) =>
  append(topic, key, Buffer.from(JSON.stringify(value)));
const copy = () =>
  Object.fromEntries(
    Object.entries(records).map(([topic, list]) => [topic, [...list]]),
  );
const feed = {
  async snapshot(topic) {
    const newest = new Map(records[topic].map(record => [record.key, record]));
    return ok({
      records: [...newest.values()],
      end: records[topic].length,
      epoch,
    });
  },
  async put(topic, key, value) {
    append(topic, key, value);
    return ok({epoch});
  },
  async read(topic, from, waitMs) {
    const limit = Date.now() + waitMs;
    while (records[topic].length === from && Date.now() < limit) {
      await sleep(10);
    }
    const end = records[topic].length;
    if (from > end) return ok({type: 'expired', first: 0, epoch});
    return ok({
      type: 'records',
      records: records[topic].slice(from),
      end,
      epoch,
    });
  },
};

const received = {};
async function startUpstream(id) {
  const server = createServer((message, response) => {
    received[id] = Date.now();
    // Long enough to be told of as load.
    setTimeout(() => {
      response.writeHead(200, {
        'x-request-id': message.headers['x-request-id'],
        'x-response-seal': 'seal',
      });
      response.end(id);
    }, 400);
  });
  await new Promise(done => server.listen(0, HOST, done));
  return server;
}

function configuration(version, host) {
  const route = {
    name: 'look',
    host,
    pathPrefix: '/look/',
    kind: 'idempotent',
    timeoutMs: 2_000,
    targetLatencyMs: 500,
    service: 'plain',
    maxAttempts: 2,
    public: true,
  };
  const limits = {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 1_000_000,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  };
  const services = [{name: 'plain', maxConnections: 50}];
  return {version, routes: [route], services, limits};
}

const entry = (port, state, seq) => ({
  service: 'plain',
  address: `${HOST}:${port}`,
  zone: 'zone-a',
  version: 'v1',
  slots: 4,
  state,
  coldRemainingMs: 0,
  seq,
  born: 1_700_000_000_000,
});

async function startOne(build, index, logLines) {
  const {startGateway} = await load(build, 'src/wiring/gateway.js');
  const {decodeConfiguration} = await load(build, 'platform/configuration.js');
  const {decodeEntry} = await load(build, 'platform/entry.js');
  const {protocol} = await load(build, 'platform/headers.js');
  const metricsPort = 7_451 + index;
  const logger = pino(
    {base: null},
    {write: line => logLines.push(JSON.parse(line))},
  );
  const gateway = await startGateway(
    {
      instance: `entry-${index}`,
      host: HOST,
      zone: 'zone-a',
      regions: {'zone-a': 'region-a'},
      callerAddress: {host: HOST, port: 0},
      readinessAddress: {host: HOST, port: 0},
      metricsAddress: {host: HOST, port: metricsPort},
      gossipPort: 7_441 + index,
      graceMs: 1_000,
      retry: {ratio: 0.2, windowMs: 10_000},
    },
    {
      protocol,
      feed,
      readinessPath: '/v1/readyz',
      decodeConfiguration,
      decodeEntry,
    },
    {logger, dropped: () => 0},
  );
  return {gateway, metricsPort, build, logLines};
}

async function ask({gateway}, host, id) {
  const {request} = await import('undici');
  const response = await request(`http://${HOST}:${gateway.port}/look/a`, {
    headers: {host, 'x-request-id': id, 'x-deadline-ms': '2000'},
  });
  return `${response.statusCode} ${await response.body.text()}`;
}

const upstreams = [await startUpstream('i-1'), await startUpstream('i-2')];
const ports = upstreams.map(server => server.address().port);
add('configuration', 'config', configuration(1, 'one.example'));
ports.forEach((port, index) =>
  add('upstreams', `i-${index + 1}`, entry(port, 'ready', 1)),
);
const instances = [];
for (const [index, build] of [ownBuild, ownBuild, otherBuild].entries()) {
  instances.push(await startOne(build, index, []));
}
await sleep(SETTLE_MS);

let failed = false;
function check(what, passed, detail) {
  failed ||= !passed;
  process.stdout.write(`${passed ? 'ok    ' : 'FAILED'} ${what}: ${detail}\n`);
}

for (const {metricsPort, gateway} of instances) {
  const page = await (
    await fetch(`http://${HOST}:${metricsPort}/metrics`)
  ).text();
  const known = /other_instances (\d+)/.exec(page)?.[1];
  check(`others known at port ${gateway.port}`, known === '2', known);
}
// Requests at the first instance are load that the others weigh.
const busy = Array.from({length: 3}, (_, n) =>
  ask(instances[0], 'one.example', `busy-${n}`),
);
await sleep(250);
const others = instances
  .slice(1)
  .map((instance, n) => ask(instance, 'one.example', `load-${n}`));
await Promise.all([...busy, ...others]);
for (const [index, {logLines}] of instances.entries()) {
  const placed = logLines.filter(({event}) => event === 'placed');
  const remote = Math.max(...placed.map(({inflight}) => inflight?.[1] ?? 0));
  if (index > 0) check(`load heard by entry-${index}`, remote > 0, remote);
}
const olderCopy = copy();
add('configuration', 'config', configuration(2, 'two.example'));
add('upstreams', 'i-1', entry(ports[0], 'draining', 2));
await sleep(2_500);
const drainedAt = Date.now();
for (const [index, instance] of instances.entries()) {
  const answer = await ask(instance, 'two.example', `after-${index}`);
  check(`configuration 2 at entry-${index}`, answer === '200 i-2', answer);
}
check(
  'nothing reaches the leaving upstream',
  (received['i-1'] ?? 0) < drainedAt,
  `last request ${drainedAt - received['i-1']} ms before`,
);
// The copy lacks what was written last. Instances of this build keep to what they
// know, and learn what the store gives out under the same offsets.
records = {...olderCopy, instances: []};
epoch++;
await sleep(1_000);
const ownInstances = instances.filter(({build}) => build === ownBuild);
for (const [index, instance] of ownInstances.entries()) {
  const answer = await ask(instance, 'two.example', `restored-${index}`);
  check(
    `configuration 2 and no leaving upstream at entry-${index}, from an older copy`,
    answer === '200 i-2',
    answer,
  );
}
add('configuration', 'config', configuration(3, 'three.example'));
add('upstreams', 'i-1', entry(ports[0], 'draining', 3));
await sleep(2_500);
for (const [index, instance] of ownInstances.entries()) {
  const answer = await ask(instance, 'three.example', `rewritten-${index}`);
  check(
    `configuration 3 at entry-${index}, under a known offset`,
    answer === '200 i-2',
    answer,
  );
}
const announced = new Set(records.instances.map(({key}) => key));
check(
  'instances of this build announce themselves again',
  ownInstances.every((_, index) => announced.has(`entry-${index}`)),
  [...announced].join(', '),
);
await Promise.all(instances.map(({gateway}) => gateway.stop()));
for (const server of upstreams) server.closeAllConnections();
process.exit(failed ? 1 : 0);
