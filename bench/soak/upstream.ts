import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {FaultProxy, type KeyedStoreStandIn} from '../../stand-ins/index.js';
import {readBody} from '../../stand-ins/http.js';
import type {Random} from '../random.js';
import {
  BOUNDS,
  eventDataOf,
  ServiceName,
  textOf,
  upstreamAddress,
  UPSTREAMS_TOPIC,
} from './deployment.js';
import {arrivalOf} from './arrival.js';
import type {Arrival, SoakHistory} from './history.js';
import type {DeclaredLimits} from './limits.js';
import {
  encodeEntry,
  isAway,
  Registration,
  removeEntry,
  SLOTS,
} from './registration.js';
import {BREAKING, Treatment} from './treatment.js';

const LEAVING_HEADER = 'server-leaving';
const MISSED_HEARTBEATS = 3;
/** Time from the head of an answer to the crash that it causes, in ms. */
const CRASH_DELAY_MS = 25;
/** Time in which the last bytes of a process pass its proxy, in ms. */
const FLUSH_MS = 100;

/**
 * The proxy of a next process: one that refuses connections still accepts them,
 * unlike the closed port of a process that has ended.
 */
const openProxy = () => FaultProxy.open(upstreamAddress());

const sleep = (ms: number) =>
  new Promise<void>(resolve => setTimeout(resolve, ms));

/** A small upstream, reached through a proxy that injects network faults. */
export class SoakUpstream {
  treatment = Treatment.Serves;
  /** Whether answers say that the upstream leaves. */
  announcesLeaving = false;
  incarnation = 0;
  isAlive = false;
  private registration = Registration.Ready;
  private server?: Server;
  private sequence = 0;
  private born = 0;
  private running = 0;
  private answers = 0;
  private heartbeat?: NodeJS.Timeout;
  private lastHeartbeatAt = 0;
  /** Settled unless the upstream is silent. */
  private silence = Promise.resolve();

  constructor(
    readonly name: string,
    readonly service: ServiceName,
    public proxy: FaultProxy,
    private readonly store: KeyedStoreStandIn,
    private readonly history: SoakHistory,
    private readonly random: Random,
    private readonly limits: DeclaredLimits,
    /** The software versions of its processes, in turn. */
    private readonly softwareVersions: readonly string[],
    /** Whether every second answer ends with its connection. */
    private readonly omitsLengths: boolean,
  ) {}

  /** Id of its newest process; another software version has another one. */
  private get id(): string {
    const {name, softwareVersion, softwareVersions} = this;
    return softwareVersions.length > 1 ? `${name}-${softwareVersion}` : name;
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
    this.incarnation++;
    this.isAlive = true;
    this.registration = Registration.Ready;
    this.treatment = Treatment.Serves;
    this.announcesLeaving = false;
    this.sequence = 0;
    this.running = 0;
    this.silence = Promise.resolve();
    this.born = Date.now();
    const {incarnation} = this;
    this.history.beginLife(this);
    const server = createServer((message, response) => {
      void this.serve(incarnation, message, response).catch(() =>
        response.destroy(),
      );
    });
    server.keepAliveTimeout = 15_000;
    await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
    if (!this.isAlive || incarnation !== this.incarnation) {
      server.close();
      return;
    }
    this.server = server;
    this.proxy.setTarget(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    this.proxy.inject({refuse: false});
    this.register();
    this.heartbeat = setInterval(() => this.register(), BOUNDS.heartbeatMs);
  }

  /** Ends the process at once; its connections are reset. */
  crash(): void {
    this.proxy.reset();
    this.end();
  }

  /** Ends the process at once; the system closes its connections in order. */
  async exit(): Promise<void> {
    const {proxy} = this;
    this.proxy = await openProxy();
    proxy.stopListening();
    this.end();
    await sleep(FLUSH_MS);
    await proxy.close();
  }

  private end(): void {
    this.isAlive = false;
    this.history.endLife(this.name);
    clearInterval(this.heartbeat);
    this.proxy.inject({refuse: true});
    this.server?.close();
    this.server?.closeAllConnections();
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
    const silentMs = this.history.now() - this.lastHeartbeatAt;
    if (this.isAlive || silentMs < MISSED_HEARTBEATS * BOUNDS.heartbeatMs) {
      return;
    }
    removeEntry(this.store, this.id);
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

  /** Sends a part of an answer, and notes that its head announced a leave. */
  private async write(
    arrival: Arrival,
    response: ServerResponse,
    text: string,
  ): Promise<void> {
    await this.silence;
    response.write(text);
    if (response.hasHeader(LEAVING_HEADER)) this.noteAnnouncement(arrival);
  }

  private noteAnnouncement({request, incarnation}: Arrival): void {
    const gateway = this.history.requests.get(request)?.gateway;
    if (gateway === undefined) return;
    const {name: upstream} = this;
    const [at, how] = [this.history.now(), 'announced'];
    this.history.addLeave({upstream, incarnation, how, at, gateway});
  }

  private async serve(
    incarnation: number,
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = (await readBody(message)).toString();
    const {headers} = message;
    const request = String(headers['x-request-id'] ?? '');
    response.setHeader('x-instance-id', this.id);
    // Probes carry no id.
    if (request === '') {
      await this.silence;
      response.end(JSON.stringify({born: this.born}));
      return;
    }
    const seal = `${this.name}.${incarnation}.${++this.answers}`;
    if (this.omitsLengths && this.answers % 2 === 0) {
      response.useChunkedEncodingByDefault = false;
    }
    const arrival: Arrival = {
      ...arrivalOf(message, request, body),
      upstream: this.name,
      incarnation,
      service: this.service,
      at: this.history.now(),
      seal,
    };
    const expected = headers['x-expect-instance'];
    this.limits.declare(arrival, response);
    const isFull = this.running >= SLOTS;
    response.setHeader('x-request-id', request);
    response.setHeader('x-response-seal', seal);
    if (this.announcesLeaving) {
      response.setHeader(LEAVING_HEADER, '1');
    }
    if (expected !== undefined && expected !== this.id) {
      await this.refuse(arrival, response, 421);
    } else if (isFull || this.treatment === Treatment.Refuses) {
      await this.refuse(arrival, response, 503);
    } else {
      this.history.addArrival(arrival);
      this.running++;
      response.once('close', () => {
        this.running = Math.max(0, this.running - 1);
        arrival.brokeOff ||= !response.writableFinished;
      });
      if (this.service === ServiceName.Streams) {
        const lastEvent = Number(headers['last-event-id'] ?? 0);
        await this.stream(arrival, response, lastEvent);
      } else {
        await this.answer(arrival, response);
      }
    }
  }

  private async refuse(
    arrival: Arrival,
    response: ServerResponse,
    status: number,
  ): Promise<void> {
    this.history.addArrival({...arrival, ran: false, status});
    response.setHeader('x-not-executed', '1');
    if (status === 503) response.setHeader('retry-after', '0.3');
    response.statusCode = status;
    await this.silence;
    response.end();
  }

  private async answer(
    arrival: Arrival,
    response: ServerResponse,
  ): Promise<void> {
    const {treatment, random} = this;
    const {badRequest} = this.history.requests.get(arrival.request) ?? {};
    if (badRequest !== undefined && !BREAKING.has(treatment)) {
      await this.crashBy(badRequest, arrival, response);
      return;
    }
    const size = Math.floor(random.next() ** 4 * 60_000) + 40;
    const body = textOf(arrival.seal, size);
    arrival.size = size;
    const isLong = treatment === Treatment.Slow || random.next() < 0.05;
    await sleep(isLong ? random.between(300, 1_500) : random.between(2, 120));
    if (response.destroyed || treatment === Treatment.Silent) return;
    if (treatment === Treatment.Loses) {
      this.breakOff(arrival, response);
      return;
    }
    if (treatment === Treatment.Fails) {
      response.statusCode = arrival.status = 500;
    }
    // Without a length, the body is sent in chunks, or ends with its connection.
    if (random.next() < 0.7 && response.useChunkedEncodingByDefault) {
      response.setHeader('content-length', size);
    }
    const cut = Math.floor(random.between(0, size));
    await this.write(arrival, response, body.slice(0, cut));
    await sleep(random.between(0, 20));
    await this.silence;
    if (treatment === Treatment.Cuts) this.breakOff(arrival, response);
    else response.end(body.slice(cut));
  }

  /** Ends the process that has begun an answer, and starts another later. */
  private async crashBy(
    part: string,
    arrival: Arrival,
    response: ServerResponse,
  ): Promise<void> {
    await this.silence;
    // A plain service ends before the head of its answer.
    if (this.service === ServiceName.Streams) response.flushHeaders();
    arrival.brokeOff = true;
    await sleep(CRASH_DELAY_MS);
    const successor = await openProxy();
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

  private async stream(
    arrival: Arrival,
    response: ServerResponse,
    lastEvent: number,
  ): Promise<void> {
    const {treatment, random, softwareVersion} = this;
    const events = Number(arrival.path.split('/').at(-1));
    if (treatment === Treatment.Fails) {
      response.statusCode = arrival.status = 500;
      await this.silence;
      response.end();
      return;
    }
    response.setHeader('content-type', 'text/event-stream');
    const badPart = this.history.requests.get(arrival.request)?.prompt?.badPart;
    if (badPart !== undefined && !BREAKING.has(treatment)) {
      await this.crashBy(badPart, arrival, response);
      return;
    }
    const cutAt = Math.floor(random.between(lastEvent + 1, events + 1));
    for (let event = lastEvent + 1; event <= events; event++) {
      await sleep(random.between(5, treatment === Treatment.Slow ? 250 : 60));
      if (response.destroyed || treatment === Treatment.Silent) return;
      if (treatment === Treatment.Loses) {
        this.breakOff(arrival, response);
        return;
      }
      const text = `id: ${event}\ndata: ${eventDataOf(arrival.request, event, softwareVersion)}\n\n`;
      if (treatment === Treatment.Cuts && event === cutAt) {
        response.write(
          text.slice(0, Math.floor(random.between(0, text.length))),
        );
        await sleep(random.between(0, 20));
        this.breakOff(arrival, response);
        return;
      }
      await this.write(arrival, response, text);
    }
    await this.silence;
    response.end();
  }

  private breakOff(arrival: Arrival, response: ServerResponse): void {
    arrival.brokeOff = true;
    response.socket?.resetAndDestroy();
  }
}
