import type {Socket} from 'node:net';
import {Topic} from '../../src/registry/index.js';
import {seededRandom} from '../../stand-ins/random.js';
import {failureHead, STREAM, UNFRAMED} from './endless.js';
import {Flood} from './flood.js';
import {successHead, wireEntry, type MemoryFeed} from './gateway.js';
import {RestartableServer} from './restartableserver.js';
import {EVENT_STREAM, eventsOf} from './silentupstream.js';

const SERVICE = 'engine';
/** Bytes that are no answer, blank lines among them. */
const GARBAGE = garbage(16 * 1024);
const SLOTS = 16;
/** Time from a request to the head of its answer, in ms. */
const START_MS = 30;
/** Time from the head to the crash, or between events, in ms. */
const STEP_MS = 25;
const EVENTS = 4;
/** Time from a crash to the start of the next process, in ms. */
const RESTART_MS = 500;

/** A request that reached an engine which took it. */
export interface EngineArrival {
  id: string;
  at: number;
  /** Ids of the parts of its prompt. */
  parts: string[];
  /** Whether the head of the answer was sent. */
  began: boolean;
}

/** Whether the answer to a request with these parts ends its engine. */
export type CrashCondition = (parts: readonly string[]) => boolean;

/** How an engine spoils an answer in place of running its request. */
export enum SpoiledAnswer {
  /** Bytes without end that are no answer, in place of a head. */
  Head = 'head',
  /** The head of a stream, then bytes without end that are none. */
  Body = 'body',
  /** A whole failure. */
  Failure = 'failure',
}

/** How the engine of an index spoils an answer to these parts, if it does. */
export type SpoilCondition = (
  engine: number,
  parts: readonly string[],
) => SpoiledAnswer | undefined;

/**
 * Engines that end when they begin certain answers. Each returns at its port
 * under a new id.
 */
export class CrashingEngines {
  readonly arrivals: EngineArrival[] = [];
  /** Times of the crashes. */
  readonly crashes: number[] = [];
  private readonly engines: RestartableServer[];
  private processes = 0;
  private isClosed = false;

  constructor(
    private readonly feed: MemoryFeed,
    count: number,
    private readonly endsEngine: CrashCondition,
    private readonly spoils: SpoilCondition = () => undefined,
    private readonly restartMs = () => RESTART_MS,
  ) {
    this.engines = Array.from(
      {length: count},
      () =>
        new RestartableServer((engine, text, socket) =>
          this.serve(engine, text, socket),
        ),
    );
  }

  async start(): Promise<void> {
    await Promise.all(this.engines.map(engine => this.startEngine(engine)));
  }

  get runningCount(): number {
    return this.engines.filter(({isRunning}) => isRunning).length;
  }

  arrivalsOf(id: string): EngineArrival[] {
    return this.arrivals.filter(arrival => arrival.id === id);
  }

  close(): void {
    this.isClosed = true;
    for (const engine of this.engines) engine.close();
  }

  /** Answers a request that a process of the engine got. */
  private serve(engine: RestartableServer, text: string, socket: Socket): void {
    const headerOf = (name: string) =>
      new RegExp(`^${name}: (.*)\r$`, 'im').exec(text)?.[1] ?? '';
    const id = headerOf('x-request-id');
    if (id === '') {
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n');
      return;
    }
    if (headerOf('x-expect-instance') !== engine.instance) {
      socket.write(
        'HTTP/1.1 421 Wrong\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n',
      );
      return;
    }
    const parts = headerOf('x-prompt-prefix')
      .split(',')
      .map(part => part.split(':')[0] ?? '');
    const arrival = {id, at: performance.now(), parts, began: false};
    this.arrivals.push(arrival);
    const last = Number(headerOf('last-event-id'));
    setTimeout(() => this.begin(engine, arrival, socket, last), START_MS);
  }

  private begin(
    engine: RestartableServer,
    arrival: EngineArrival,
    socket: Socket,
    last: number,
  ): void {
    if (socket.destroyed) return;
    const spoiled = this.spoils(this.engines.indexOf(engine), arrival.parts);
    if (spoiled !== undefined) {
      spoil(spoiled, arrival.id, socket);
      return;
    }
    arrival.began = true;
    socket.write(successHead(arrival.id, EVENT_STREAM));
    const {instance} = engine;
    if (this.endsEngine(arrival.parts)) {
      setTimeout(() => {
        if (engine.instance === instance) this.crash(engine);
      }, STEP_MS);
      return;
    }
    const sendEvent = (event: number) => {
      if (socket.destroyed) return;
      if (event > EVENTS) {
        socket.write('0\r\n\r\n');
        return;
      }
      const text = eventsOf(event, event);
      socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
      setTimeout(() => sendEvent(event + 1), STEP_MS);
    };
    setTimeout(() => sendEvent(last + 1), STEP_MS);
  }

  private async startEngine(engine: RestartableServer): Promise<void> {
    const port = await engine.listen(`i-${++this.processes}`);
    if (this.isClosed) {
      engine.close();
      return;
    }
    const entry = {
      ...wireEntry(SERVICE, port),
      slots: SLOTS,
      born: Date.now(),
    };
    this.feed.add(Topic.Upstreams, engine.instance, entry);
  }

  private crash(engine: RestartableServer): void {
    if (!engine.isRunning) return;
    this.crashes.push(performance.now());
    engine.close();
    const {instance} = engine;
    setTimeout(() => {
      if (this.isClosed) return;
      this.feed.add(Topic.Upstreams, instance, undefined);
      void this.startEngine(engine);
    }, this.restartMs());
  }
}

function garbage(length: number): string {
  const random = seededRandom(71);
  const codes = Array.from({length}, () => Math.floor(random() * 256));
  return String.fromCharCode(...codes);
}

function spoil(answer: SpoiledAnswer, id: string, socket: Socket): void {
  switch (answer) {
    case SpoiledAnswer.Head:
      new Flood(socket, GARBAGE);
      return;
    case SpoiledAnswer.Body:
      socket.write(successHead(id, STREAM + UNFRAMED));
      new Flood(socket, GARBAGE);
      return;
    case SpoiledAnswer.Failure:
      socket.write(failureHead(id, 'Content-Length: 2\r\n') + 'no');
  }
}
