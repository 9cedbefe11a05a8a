import {createServer, type Server} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {
  Acceptance,
  type FaultProxy,
  type KeyedStoreStandIn,
} from '../../stand-ins/index.js';
import {LOOPBACK} from '../../stand-ins/loopback.js';
import type {Random} from '../random.js';
import {Answers} from './answers.js';
import {EndCause} from './arrival.js';
import {BOUNDS, UPSTREAMS_TOPIC, type ServiceName} from './deployment.js';
import type {Geography} from './geography.js';
import type {Arrival, SoakHistory} from './history.js';
import type {DeclaredLimits} from './limits.js';
import {
  encodeEntry,
  isAway,
  Registration,
  removeEntry,
} from './registration.js';
import {Treatment} from './treatment.js';

const MISSED_HEARTBEATS = 3;
/** Time from the head of an answer to the crash that it causes, in ms. */
const CRASH_DELAY_MS = 25;
/** Time in which the last bytes of a process pass its proxy, in ms. */
const FLUSH_MS = 100;

/** Time between looks for an answer that is being written, in ms. */
const LOOK_MS = 5;

/** Under which id a process follows another one at its address. */
export enum Succession {
  SameId = 'sameId',
  OtherId = 'otherId',
  /** Under another id; the entry of the last one stays until it expires. */
  OtherIdUnannounced = 'otherIdUnannounced',
}

const sleep = (ms: number) =>
  new Promise<void>(resolve => setTimeout(resolve, ms));

/** A small upstream, reached through a proxy that injects network faults. */
export class SoakUpstream {
  treatment = Treatment.Serves;
  /** Whether answers say that the upstream leaves. */
  announcesLeaving = false;
  /** Number of faults by which it sends bytes without end. */
  endlessAnswers = 0;
  incarnation = 0;
  isAlive = false;
  born = 0;
  /** Settled unless the upstream is silent. */
  silence = Promise.resolve();
  private registration = Registration.Ready;
  private server?: Server;
  private sequence = 0;
  private heartbeat?: NodeJS.Timeout;
  private lastHeartbeatAt = 0;
  /** Number of times that the id changed with a restart. */
  private renames = 0;
  /** When the last heartbeat of processes with earlier ids was. */
  private readonly earlierIds = new Map<string, number>();
  /** Number of the process that has each connection. */
  private readonly connections = new Map<Socket, number>();
  private readonly answers: Answers;

  constructor(
    readonly name: string,
    readonly service: ServiceName,
    public proxy: FaultProxy,
    private readonly store: KeyedStoreStandIn,
    private readonly history: SoakHistory,
    private readonly random: Random,
    limits: DeclaredLimits,
    /** The software versions of its processes, in turn. */
    private readonly softwareVersions: readonly string[],
    /** Whether every second answer ends with its connection. */
    omitsLengths: boolean,
    private readonly geography: Geography,
    private readonly zone: string,
  ) {
    this.answers = new Answers(this, history, random, limits, omitsLengths);
  }

  /** Id of its newest process; another software version has another one. */
  get id(): string {
    const {name, softwareVersion, softwareVersions, renames} = this;
    return [
      name,
      ...(softwareVersions.length > 1 ? [softwareVersion] : []),
      ...(renames > 0 ? [`r${renames}`] : []),
    ].join('-');
  }

  /**
   * Opens the proxy of a next process: one that refuses connections still accepts
   * them, unlike the closed port of a process that has ended.
   */
  private openProxy(): Promise<FaultProxy> {
    return this.geography.openUpstreamProxy(this.zone);
  }

  /** Removes the entry of the last process if the next one has another id. */
  private removeEarlierId(): void {
    const changesId = this.softwareVersions.length > 1;
    if (changesId) removeEntry(this.store, this.id);
  }

  /** Software version of its newest process. */
  get softwareVersion(): string {
    const {softwareVersions, incarnation} = this;
    return softwareVersions[incarnation % softwareVersions.length] ?? '';
  }

  /**
   * Starts a new process of this upstream, of its next software version; does
   * nothing if one runs.
   */
  async start(): Promise<void> {
    if (this.isAlive) return;
    this.removeEarlierId();
    this.beginProcess();
    const {incarnation} = this;
    const server = createServer((message, response) => {
      const process = this.connections.get(message.socket);
      // A process reads nothing from a connection that it has ended.
      if (process === undefined) return;
      void this.answers
        .serve(process, message, response)
        .catch(() => response.destroy());
    });
    server.keepAliveTimeout = 15_000;
    server.on('connection', socket => {
      this.connections.set(socket, this.incarnation);
      socket.once('close', () => this.connections.delete(socket));
    });
    await new Promise<void>(done => server.listen(0, LOOPBACK, done));
    if (!this.isAlive || incarnation !== this.incarnation) {
      server.close();
      return;
    }
    this.server = server;
    this.proxy.setTarget(
      `${LOOPBACK}:${(server.address() as AddressInfo).port}`,
    );
    this.proxy.inject({refuse: false, acceptance: Acceptance.Forwarded});
    this.beginHeartbeats();
  }

  private beginProcess(): void {
    this.incarnation++;
    this.isAlive = true;
    this.registration = Registration.Ready;
    this.treatment = Treatment.Serves;
    this.announcesLeaving = false;
    this.sequence = 0;
    this.answers.reset();
    this.silence = Promise.resolve();
    this.born = Math.max(Date.now(), this.born + 1);
    this.history.beginLife(this);
  }

  private beginHeartbeats(): void {
    clearInterval(this.heartbeat);
    this.register();
    this.heartbeat = setInterval(() => this.register(), BOUNDS.heartbeatMs);
  }

  /**
   * Replaces the process by the next one, which has its listening socket; the
   * system closes its connections in order.
   */
  restart(succession: Succession): void {
    if (!this.isAlive || this.server === undefined) return;
    this.history.endLife(this.name);
    this.endInOrder([...this.connections.keys()], EndCause.Restart);
    const {id} = this;
    if (succession !== Succession.SameId) this.renames++;
    this.beginProcess();
    if (this.id !== id) {
      const isKept = succession === Succession.OtherIdUnannounced;
      this.earlierIds.set(id, isKept ? this.lastHeartbeatAt : -Infinity);
    }
    this.expireEarlierIds();
    this.beginHeartbeats();
  }

  /** Ends all connections or half of them in order; the process goes on. */
  hangUp(half: boolean): void {
    const all = [...this.connections.keys()];
    const ended = half ? all.filter((_, index) => index % 2 === 0) : all;
    this.endInOrder(ended, EndCause.Hangup);
  }

  private endInOrder(sockets: readonly Socket[], cause: EndCause): void {
    this.answers.noteEnd(cause, new Set(sockets));
    for (const socket of sockets) {
      this.connections.delete(socket);
      socket.destroySoon();
    }
  }

  /**
   * Ends the process at once; the system closes its connections in order, and
   * its address goes on accepting others.
   */
  vanish(acceptance: Acceptance): void {
    if (!this.isAlive) return;
    this.proxy.inject({acceptance});
    this.endInOrder([...this.connections.keys()], EndCause.Exit);
    this.end();
  }

  /** Waits until an answer is being written, but no longer than a limit. */
  async untilAnswering(limitMs: number): Promise<void> {
    const limit = this.history.now() + limitMs;
    while (!this.answers.areBegun && this.history.now() < limit) {
      await sleep(LOOK_MS);
    }
  }

  /** Ends the process at once; its connections are reset. */
  crash(): void {
    this.answers.noteEnd(EndCause.Crash);
    this.proxy.reset();
    this.proxy.inject({refuse: true});
    this.end();
  }

  /** Ends the process at once; the system closes its connections in order. */
  async exit(): Promise<void> {
    const {proxy} = this;
    this.proxy = await this.openProxy();
    proxy.stopListening();
    this.answers.noteEnd(EndCause.Exit);
    this.proxy.inject({refuse: true});
    this.end();
    await sleep(FLUSH_MS);
    await proxy.close();
  }

  private end(): void {
    this.isAlive = false;
    this.history.endLife(this.name);
    clearInterval(this.heartbeat);
    this.server?.close();
    for (const socket of this.connections.keys()) socket.destroy();
    delete this.server;
  }

  /** Sends nothing on any connection for a time; resolves at its end. */
  fallSilent(ms: number): Promise<void> {
    const ended = sleep(ms);
    this.silence = Promise.all([this.silence, ended]).then(() => undefined);
    return ended;
  }

  /** Reports that it drains, or has its entry removed; goes on serving. */
  leave(byRemoval: boolean): void {
    this.registration = byRemoval
      ? Registration.Removed
      : Registration.Draining;
    this.register();
  }

  /** Removes the entry of a process that has been silent for too long. */
  expire(): void {
    this.expireEarlierIds();
    const silentMs = this.history.now() - this.lastHeartbeatAt;
    if (this.isAlive || silentMs < MISSED_HEARTBEATS * BOUNDS.heartbeatMs) {
      return;
    }
    removeEntry(this.store, this.id);
  }

  private expireEarlierIds(): void {
    const dueAt = this.history.now() - MISSED_HEARTBEATS * BOUNDS.heartbeatMs;
    for (const [id, heartbeatAt] of this.earlierIds) {
      if (heartbeatAt > dueAt || isAway(this.store)) continue;
      if (id !== this.id) removeEntry(this.store, id);
      this.earlierIds.delete(id);
    }
  }

  private register(): void {
    if (isAway(this.store)) return;
    this.lastHeartbeatAt = this.history.now();
    if (this.registration !== Registration.Ready) this.noteLeave();
    if (this.registration === Registration.Removed) {
      removeEntry(this.store, this.id);
      return;
    }
    const value = encodeEntry({
      service: this.service,
      address: this.proxy.address,
      version: this.softwareVersion,
      zone: this.zone,
      state: this.registration,
      seq: ++this.sequence,
      born: this.born,
    });
    this.store.log.append(UPSTREAMS_TOPIC, this.id, value);
  }

  private noteLeave(): void {
    const {name: upstream, incarnation, registration: how} = this;
    this.history.addLeave({upstream, incarnation, how, at: this.history.now()});
  }

  /** Ends the process by a request, and starts another later. */
  async crashBy(part: string, arrival: Arrival): Promise<void> {
    await sleep(CRASH_DELAY_MS);
    const successor = await this.openProxy();
    if (!this.isAlive || arrival.incarnation !== this.incarnation) {
      await successor.close();
      return;
    }
    const {name: upstream, history, proxy} = this;
    const {request} = arrival;
    history.crashes.push({part, request, upstream, at: history.now()});
    const end = history.disrupt(upstream, 'promptCrash');
    this.crash();
    this.proxy = successor;
    await proxy.close();
    await sleep(this.random.between(500, 3_000));
    await this.start();
    end();
  }
}
