import {spawn, type ChildProcess} from 'node:child_process';
import {
  closeSync,
  openSync,
  renameSync,
  statSync,
  writeFileSync,
} from 'node:fs';
import {join} from 'node:path';
import {packageRoot} from '../../src/cli/packageroot.js';
import {FaultProxy} from '../../stand-ins/index.js';
import {LOOPBACK} from '../../stand-ins/loopback.js';
import {addressOf, BOUNDS} from './deployment.js';
import {Geography} from './geography.js';
import type {SoakHistory} from './history.js';

const FRONT_PORT = 8227;
const READY_PORT = 8220;
const FIRST_INTERNAL_PORT = 7340;
const LAST_INTERNAL_PORT = 7355;
const START_LIMIT_MS = 15_000;
const START_CHECK_MS = 50;
/** Time from the end of a process to the start of the next one. */
export const RESTART_MS = 300;

const children = new Set<ChildProcess>();

// Leaves no gateway behind, however the soak ends.
process.on('exit', () => {
  for (const child of children) child.kill('SIGKILL');
});
process.once('SIGINT', () => process.exit(130));
process.once('SIGTERM', () => process.exit(143));

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

/** A gateway as a process of its own, with proxies before it and the store. */
export class GatewayProcess {
  incarnation = 0;
  isStopping = false;
  /** Whether another process starts after one that ended by itself. */
  restarts = true;
  /** Limits of its machine, as the settings file names them. */
  limits: Record<string, number> = {};
  /** Arguments of Node.js. */
  nodeArguments: readonly string[] = [];
  private child?: ChildProcess;
  /** Whether the soak ends the process. */
  private isEnding = false;
  /** Size of its log when its process was started. */
  private logStart = 0;
  private exited: Promise<void> = Promise.resolve();
  private retryRatio = 0.2;

  private constructor(
    readonly name: string,
    readonly host: string,
    /** Where callers connect. */
    readonly ingress: FaultProxy,
    /** Its way to the store. */
    readonly storeLink: FaultProxy,
    private readonly folder: string,
    private readonly history: SoakHistory,
    /** File of the program that it runs. */
    private readonly program: string,
    private readonly zone: string,
    private readonly zones: Record<string, string>,
  ) {}

  static async open(
    index: number,
    storePort: number,
    folder: string,
    history: SoakHistory,
    program = join(packageRoot(), 'target', 'start.cjs'),
    geography = new Geography(),
  ): Promise<GatewayProcess> {
    const host = addressOf(index);
    const ingress = await FaultProxy.open(LOOPBACK);
    ingress.setTarget(`${host}:${FRONT_PORT}`);
    const storeLink = await FaultProxy.open(host);
    storeLink.setTarget(`${LOOPBACK}:${storePort}`);
    storeLink.setDistance(geography.distanceMs(index), host);
    const name = `entry-${index}`;
    return new GatewayProcess(
      name,
      host,
      ingress,
      storeLink,
      folder,
      history,
      program,
      geography.zoneOf(index),
      geography.zones,
    );
  }

  /** Id of its process; undefined if none runs. */
  get processId(): number | undefined {
    return this.child?.pid;
  }

  get isRunning(): boolean {
    return this.child !== undefined;
  }

  /** Starts a process; does nothing if one runs. */
  start(): void {
    if (this.isRunning) return;
    this.incarnation++;
    this.isStopping = false;
    this.isEnding = false;
    this.history.disrupt(this.name, 'start')();
    this.writeSettings();
    const log = openSync(this.logFile, 'a');
    this.logStart = statSync(this.logFile).size;
    const child = spawn(
      process.execPath,
      [...this.nodeArguments, this.program],
      {
        stdio: ['ignore', log, log],
        env: {
          PATH: process.env['PATH'],
          GYPSUMCOURSE_BOOT: this.settingsFile,
        },
      },
    );
    closeSync(log);
    children.add(child);
    this.child = child;
    this.exited = new Promise(resolve => {
      child.once('exit', (status, signal) => {
        children.delete(child);
        if (this.child === child) delete this.child;
        if (!this.isEnding) this.noteOwnEnd(String(status ?? signal));
        resolve();
      });
    });
  }

  /** Records that the process ended by itself, and starts another one. */
  private noteOwnEnd(status: string): void {
    const {name: gateway, incarnation, history} = this;
    const at = history.now();
    const hasLogged = statSync(this.logFile).size > this.logStart;
    history.ownEnds.push({gateway, incarnation, at, status, hasLogged});
    if (this.restarts) setTimeout(() => this.start(), RESTART_MS).unref();
  }

  /** Waits until the gateway says that it is ready. */
  async untilReady(): Promise<void> {
    const limit = Date.now() + START_LIMIT_MS;
    while (Date.now() < limit) {
      const url = `http://${this.host}:${READY_PORT}/v1/readyz`;
      const isReady = await fetch(url).then(
        ({ok}) => ok,
        () => false,
      );
      if (isReady) return;
      await sleep(START_CHECK_MS);
    }
  }

  signal(signal: NodeJS.Signals): void {
    this.child?.kill(signal);
  }

  /** Sends SIGTERM, and SIGKILL after the grace time; resolves at the end. */
  async terminate(): Promise<void> {
    if (this.isStopping) return;
    this.isStopping = true;
    this.isEnding = true;
    const {child} = this;
    this.signal('SIGTERM');
    const timeout = setTimeout(() => child?.kill('SIGKILL'), BOUNDS.graceMs);
    await this.exited;
    clearTimeout(timeout);
  }

  async kill(): Promise<void> {
    this.isEnding = true;
    this.signal('SIGKILL');
    await this.exited;
  }

  /** Changes the settings file and says so. */
  changeSettings(retryRatio: number): void {
    this.retryRatio = retryRatio;
    this.writeSettings();
    if (!this.isStopping) this.signal('SIGHUP');
  }

  private get logFile(): string {
    return join(this.folder, `${this.name}.log`);
  }

  private get settingsFile(): string {
    return join(this.folder, `${this.name}.json`);
  }

  private writeSettings(): void {
    const settings = {
      nodeName: this.name,
      ip: this.host,
      zone: this.zone,
      zones: this.zones,
      listen: {
        front: `${this.host}:${FRONT_PORT}`,
        ready: `${this.host}:${READY_PORT}`,
      },
      internalPorts: [FIRST_INTERNAL_PORT, LAST_INTERNAL_PORT],
      bounds: {
        graceS: BOUNDS.graceMs / 1000,
        drainMs: BOUNDS.drainMs,
        retryBudgetRatio: this.retryRatio,
        budgetWindowS: 10,
      },
      limits: this.limits,
      bootstrap: this.incarnation === 1,
      platform: {address: this.storeLink.address},
    };
    // A process that starts may read the file at any time.
    const unfinished = `${this.settingsFile}.new`;
    writeFileSync(unfinished, JSON.stringify(settings));
    renameSync(unfinished, this.settingsFile);
  }
}
