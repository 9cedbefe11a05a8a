/** Starts the program of the deploy file as a process of its own. */
import {spawn} from 'node:child_process';
import {createSocket} from 'node:dgram';
import {mkdtempSync, openSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

const root = dirname(dirname(dirname(fileURLToPath(import.meta.url))));

/** Processes that run; none is left behind, however a case ends. */
const children = new Set();
process.on('exit', () => {
  for (const child of children) child.kill('SIGKILL');
});
process.once('SIGINT', () => process.exit(2));
process.once('SIGTERM', () => process.exit(2));

export const sleep = ms => new Promise(done => setTimeout(done, ms));

/** A loopback address that other runs don't use at the same time. */
export function loopback(index) {
  const {pid} = process;
  return `127.${20 + (Math.floor(pid / 250) % 200)}.${pid % 250}.${index}`;
}

/** Bounds of the pages' example deployment. */
export const BOUNDS = {
  seedLagS: 3,
  reuseAfterS: 2,
  stableWindowMs: 4000,
  ackMs: 5000,
  catchUpS: 4,
  drainMs: 2500,
  graceS: 8,
  lossSlackMs: 200,
  configApplyMs: 2500,
  downgradeSlackMs: 250,
  maxStretchMs: 6000,
  revokeStrict: false,
  revokeMs: 5000,
  retryBudgetRatio: 0.2,
  budgetWindowS: 10,
  retryBudgetExtra: 54,
  recoveryS: 12,
  passMs: 250,
  retryAfterS: 10,
};

/** Ports of the pages' example, and where to look on if one is taken. */
const FIRST_PORTS = {ready: 8220, front: 8227, internal: 7340};
const PORTS_STEP = 20;
const MAX_STEPS = 20;

function isFree(host, port) {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

function isFreeForDatagrams(host, port) {
  return new Promise(resolve => {
    const socket = createSocket('udp4');
    socket.once('error', () => socket.close(() => resolve(false)));
    socket.bind(port, host, () => socket.close(() => resolve(true)));
  });
}

/** Ports that are free at an address. */
async function freePorts(host) {
  for (let step = 0; step < MAX_STEPS; step++) {
    const by = step * PORTS_STEP;
    const ready = FIRST_PORTS.ready + by;
    const front = FIRST_PORTS.front + by;
    const internal = FIRST_PORTS.internal + by;
    const free = await Promise.all([
      isFree(host, ready),
      isFree(host, front),
      isFree(host, internal),
      isFreeForDatagrams(host, internal),
    ]);
    if (!free.includes(false)) return {ready, front, internal};
  }
  throw new Error(`no free ports at ${host}`);
}

export class Gateway {
  static async open(index, storeAddress) {
    const gateway = new Gateway(index, storeAddress);
    gateway.ports = await freePorts(gateway.host);
    gateway.start();
    return gateway;
  }

  constructor(index, storeAddress, {zone = 'zone-a', zones} = {}) {
    this.name = `front-${zone}-${index}`;
    this.host = loopback(100 + index);
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    this.storeAddress = storeAddress;
    this.zone = zone;
    this.zones = zones ?? {[zone]: 'region-a'};
    this.starts = 0;
    /** Ends of its processes that nobody asked for. */
    this.ownEnds = [];
  }

  get port() {
    return this.ports.front;
  }

  start() {
    const {host, ports} = this;
    const settings = {
      nodeName: this.name,
      role: 'gateway',
      machineClass: 'front',
      serves: ['front'],
      ip: this.host,
      zone: this.zone,
      region: this.zones[this.zone],
      zones: this.zones,
      listen: {
        front: `${host}:${ports.front}`,
        ready: `${host}:${ports.ready}`,
      },
      internalPorts: [ports.internal, ports.internal + 15],
      seeds: [],
      bootstrap: this.starts === 0,
      lossCounts: false,
      limits: {
        cpuShare: 0.675,
        cores: 1,
        memoryMb: 350,
        maxFds: 4100,
        linkMbps: 1000,
        diskMb: 0,
      },
      dataDir: null,
      discovery: 'platform',
      entry: 'vip',
      heartbeatMs: 1200,
      contracts: [
        ...['base', 'drain', 'config', 'cost', 'retry', 'recover', 'engine'],
        ...['stream', 'tenants', 'platform'],
      ],
      faultTolerance: {machines: 2, zones: 0, regions: 0},
      bounds: BOUNDS,
      platform: {
        address: this.storeAddress,
        form: 'log',
        writesPerS: 400,
        readsPerS: 2000,
        parts: 12,
        keep_s: 20,
      },
    };
    const file = join(this.folder, 'node.json');
    writeFileSync(file, JSON.stringify(settings));
    const log = openSync(join(this.folder, 'log'), 'a');
    const {PATH, HOME, LANG} = process.env;
    const child = spawn(
      'node',
      ['--max-old-space-size=200', 'target/gypsumcourse.js'],
      {
        cwd: root,
        stdio: ['ignore', log, log],
        env: {PATH, HOME, LANG, GYPSUMCOURSE_BOOT: file},
      },
    );
    this.starts++;
    this.startedAt = Date.now();
    children.add(child);
    child.once('exit', () => children.delete(child));
    this.child = child;
    this.isEnding = false;
    this.exited = new Promise(done => {
      child.once('exit', (code, signal) => {
        if (!this.isEnding) {
          const at = Date.now();
          const afterMs = at - this.startedAt;
          this.ownEnds.push({at, afterMs, code, signal});
        }
        done({code, signal});
      });
    });
  }

  get isRunning() {
    return this.child?.exitCode === null && this.child.signalCode === null;
  }

  get readinessUrl() {
    return `http://${this.host}:${this.ports.ready}/v1/readyz`;
  }

  async ready(limitMs = 15_000) {
    const until = Date.now() + limitMs;
    while (Date.now() < until) {
      const isReady = await fetch(this.readinessUrl, {
        signal: AbortSignal.timeout(1_000),
      }).then(
        ({status}) => status === 200,
        () => false,
      );
      if (isReady) return true;
      await sleep(50);
    }
    return false;
  }

  async signal(name) {
    if (name !== 'SIGSTOP' && name !== 'SIGCONT' && name !== 'SIGHUP') {
      this.isEnding = true;
    }
    this.child.kill(name);
  }

  async end() {
    this.isEnding = true;
    if (this.isRunning) {
      this.child.kill('SIGCONT');
      this.child.kill('SIGKILL');
      await this.exited;
    }
    if (!process.env.KEEP) rmSync(this.folder, {recursive: true});
    else console.log(this.name, this.folder);
  }
}
