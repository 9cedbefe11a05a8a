import {pino} from 'pino';
import {Peers} from '../../src/fleet/index.js';
import {OriginExchange, SoftwareVersions} from '../../src/origin/index.js';
import {ManualTimer} from '../../src/timer/index.js';
import {Random} from '../random.js';
import {InstanceTimer} from './instancetimer.js';
import {placeOf} from './places.js';
import {SimulatedNetwork, type Place} from './simulatednetwork.js';

const SERVICE = 'engines';
const VERSIONS = ['v1', 'v2'];
const STREAM_LIFE_MS = 10_000;
/** Time from the loss of instances until callers take their streams up, in ms. */
const RETURN_MS = 50;

/** What an experiment with streams of two software versions does. */
export interface StreamOriginSpec {
  instances: number;
  seed: number;
  /** New streams a second of the whole fleet. */
  streamsPerSecond: number;
  /** Time for which only the first software version serves, at the beginning. */
  secondsAlone: number;
  /** Time for which both serve. */
  seconds: number;
  /** Share of the instances that end at once at the end of that time. */
  lost: number;
  /** Share of messages that are lost, 0 to 1. */
  loss: number;
}

/** Result of an experiment. */
export interface StreamOriginFigures {
  instances: number;
  /** Streams of lost instances, each taken up at another one. */
  takenUp: number;
  /** Those whose software version was found. */
  known: number;
  /** Those that would have gone on at another one. */
  wrong: number;
  /** Time to find them, in ms. */
  lookupMs: {p50: number; p99: number};
  messagesPerSecond: number;
  bytesPerSecond: number;
}

interface Node {
  place: Place;
  timer: InstanceTimer;
  peers: Peers;
  origins: OriginExchange;
}

interface Stream {
  key: string;
  softwareVersion: string;
  node: Node;
}

/**
 * Begins streams at the instances of a fleet whose service has two software
 * versions, ends some instances, and takes their streams up at others.
 */
export async function runStreamOrigins(
  spec: StreamOriginSpec,
): Promise<StreamOriginFigures> {
  const {instances, seconds, secondsAlone, streamsPerSecond, lost} = spec;
  const random = new Random(spec.seed);
  const base = new ManualTimer();
  const network = new SimulatedNetwork(
    base,
    random.next,
    () => random.next() < spec.loss,
  );
  const nodes = Array.from({length: instances}, (_, index) =>
    startNode(base, network, placeOf(index), random),
  );
  introduce(nodes);
  const streams: Stream[] = [];
  let versions = VERSIONS.slice(0, 1);
  const begins = base.every(1_000 / streamsPerSecond, () => {
    const node = random.pick(nodes);
    // An instance uses the upstreams that it knows.
    const softwareVersion = random.pick(versions);
    const key = `stream-${streams.length}`;
    const expiresAt = node.timer.now() + STREAM_LIFE_MS;
    node.origins.note({
      key,
      origin: {service: SERVICE, softwareVersion},
      expiresAt,
    });
    streams.push({key, softwareVersion, node});
  });
  if (secondsAlone > 0) {
    for (const {origins} of nodes) origins.applyUpstreams(upstreams(versions));
    await advance(base, secondsAlone * 1_000);
  }
  versions = VERSIONS;
  for (const {origins} of nodes) origins.applyUpstreams(upstreams(versions));
  const before = {...network.traffic};
  await advance(base, seconds * 1_000);
  begins.end();
  const {datagrams, bytes} = network.traffic;
  const perInstance = (total: number) =>
    Math.round((10 * total) / seconds / instances) / 10;
  const gone = new Set(
    random.shuffle(nodes).slice(0, Math.round(instances * lost)),
  );
  for (const {timer} of gone) timer.kill();
  await advance(base, RETURN_MS);
  const rest = nodes.filter(node => !gone.has(node));
  const broken = streams.filter(({node}) => gone.has(node));
  const lookups = Promise.all(
    broken.map(async ({key, softwareVersion}) => {
      const from = base.now();
      const {origins} = random.pick(rest);
      const {lookup} = await origins.find(key, [SERVICE]);
      const ms = base.now() - from;
      const isKnown = lookup.type === 'known';
      const isWrong =
        lookup.type === 'any' ||
        (isKnown && lookup.origin.softwareVersion !== softwareVersion);
      return {isKnown, isWrong, ms};
    }),
  );
  await advance(base, STREAM_LIFE_MS / 10);
  const found = await lookups;
  const times = found.map(({ms}) => ms).sort((a, b) => a - b);
  const quantile = (share: number) =>
    Math.round(times[Math.floor(times.length * share)] ?? 0);
  return {
    instances,
    takenUp: found.length,
    known: found.filter(({isKnown}) => isKnown).length,
    wrong: found.filter(({isWrong}) => isWrong).length,
    lookupMs: {p50: quantile(0.5), p99: quantile(0.99)},
    messagesPerSecond: perInstance(datagrams - before.datagrams),
    bytesPerSecond: perInstance(bytes - before.bytes),
  };
}

function startNode(
  base: ManualTimer,
  network: SimulatedNetwork,
  place: Place,
  random: Random,
): Node {
  const timer = new InstanceTimer(base);
  const {name, zone} = place;
  const silent = pino({level: 'silent'});
  const peers = new Peers(name, zone, silent, random.next);
  const {datagrams} = network.connect(place, timer);
  const versions = new SoftwareVersions(timer, true);
  const origins = new OriginExchange({
    name,
    zone,
    peers,
    datagrams,
    timer,
    versions,
    areCurrent: () => true,
    hasReadSince: () => true,
  });
  versions.applyRecorded(new Map());
  return {place, timer, origins, peers};
}

function upstreams(softwareVersions: readonly string[]) {
  return softwareVersions.map(softwareVersion => ({
    service: SERVICE,
    softwareVersion,
  }));
}

/** Tells each instance the addresses of all others. */
function introduce(nodes: readonly Node[]): void {
  const records = nodes.map(({place: {name, zone}}, offset) => ({
    key: name,
    offset,
    value: Buffer.from(JSON.stringify({host: name, port: 1, zone})),
  }));
  for (const {peers} of nodes) peers.update(records);
}

async function advance(timer: ManualTimer, ms: number): Promise<void> {
  for (let done = 0; done < ms; done += 10) await timer.advance(10);
}
