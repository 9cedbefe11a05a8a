import type {Socket} from 'node:net';
import {Topic} from '../../src/registry/index.js';
import {successHead, wireEntry, type MemoryFeed} from './gateway.js';
import {RestartableServer} from './restartableserver.js';

const SERVICE = 'plain';
const SLOTS = 16;
/** Time from a request to its answer, or to the crash that it causes, in ms. */
const RUN_MS = 40;

/** A request that reached a service which took it. */
export interface ServiceArrival {
  id: string;
  path: string;
  at: number;
}

/**
 * Plain services that end, without an answer, when they run certain requests.
 * Each returns at its port under a new id.
 */
export class CrashingServices {
  readonly arrivals: ServiceArrival[] = [];
  /** Times of the crashes. */
  readonly crashes: number[] = [];
  private readonly services: RestartableServer[];
  private processes = 0;
  private isClosed = false;

  constructor(
    private readonly feed: MemoryFeed,
    count: number,
    /** Whether the run of a request for this path ends its process. */
    private readonly endsService: (
      path: string,
      services: CrashingServices,
    ) => boolean,
    /** Time from a crash to the start of the next process, in ms. */
    private readonly restartMs: number,
  ) {
    this.services = Array.from(
      {length: count},
      () =>
        new RestartableServer((service, text, socket) =>
          this.serve(service, text, socket),
        ),
    );
  }

  async start(): Promise<void> {
    await Promise.all(this.services.map(service => this.startService(service)));
  }

  get runningCount(): number {
    return this.services.filter(({isRunning}) => isRunning).length;
  }

  close(): void {
    this.isClosed = true;
    for (const service of this.services) service.close();
  }

  private serve(
    service: RestartableServer,
    text: string,
    socket: Socket,
  ): void {
    const headerOf = (name: string) =>
      new RegExp(`^${name}: (.*)\r$`, 'im').exec(text)?.[1] ?? '';
    const id = headerOf('x-request-id');
    if (id === '') {
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n');
      return;
    }
    if (headerOf('x-expect-instance') !== service.instance) {
      socket.write(
        'HTTP/1.1 421 Wrong\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n',
      );
      return;
    }
    const path = text.split(' ', 2)[1] ?? '';
    this.arrivals.push({id, path, at: performance.now()});
    const {instance} = service;
    setTimeout(() => {
      if (service.instance !== instance || !service.isRunning) return;
      if (this.endsService(path, this)) this.crash(service);
      else socket.write(`${successHead(id, 'Content-Length: 2\r\n')}ok`);
    }, RUN_MS);
  }

  private async startService(service: RestartableServer): Promise<void> {
    const port = await service.listen(`i-${++this.processes}`);
    if (this.isClosed) {
      service.close();
      return;
    }
    const entry = {
      ...wireEntry(SERVICE, port),
      slots: SLOTS,
      born: Date.now(),
    };
    this.feed.add(Topic.Upstreams, service.instance, entry);
  }

  private crash(service: RestartableServer): void {
    this.crashes.push(performance.now());
    service.close();
    const {instance} = service;
    setTimeout(() => {
      if (this.isClosed) return;
      this.feed.add(Topic.Upstreams, instance, undefined);
      void this.startService(service);
    }, this.restartMs);
  }
}
