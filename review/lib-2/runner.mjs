/** A small stand-in for the runners of a service. */
import http from 'node:http';
import {BOUNDS, loopback, sleep} from './gateway.mjs';

/** Time for which a leaving runner serves beyond `drainMs`, in ms. */
const LINGER_MS = 500;

/** A sound runner that works on each request for a while. */
export class Runner {
  sequence = 0;
  isUp = false;
  state = 'ready';
  /** Version of its software. */
  version = 'v1';
  /** Headers of all its answers. */
  marks = {};

  constructor({index, service, store, record, slots = 6, workMs = 20, zone}) {
    this.id = `i-${service}-${index}`;
    this.host = loopback(100 + index);
    Object.assign(this, {service, store, record, slots, workMs});
    this.zone = zone ?? 'rvk-a';
    /** By request id: how often it ran. */
    this.runs = new Map();
  }

  async start() {
    this.born = Date.now();
    this.server = http.createServer((request, response) =>
      this.serve(request, response),
    );
    this.server.keepAliveTimeout = 30_000;
    await new Promise(resolve => this.server.listen(0, this.host, resolve));
    this.port = this.server.address().port;
    this.isUp = true;
    this.beat();
  }

  get address() {
    return `${this.host}:${this.port}`;
  }

  /** Leaves as planned: says so, serves on for `drainMs` and a little longer. */
  async drain() {
    this.state = 'draining';
    this.beat();
    await sleep(BOUNDS.drainMs + LINGER_MS);
    this.state = 'gone';
    this.store.write('keyed.servers', this.id, undefined);
    this.close();
  }

  beat() {
    if (!this.isUp || this.state === 'gone') return;
    this.store.write('keyed.servers', this.id, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: this.version,
      slots: this.slots,
      state: this.state,
      coldRemainingMs: 0,
      seq: ++this.sequence,
      born: this.born,
    });
  }

  headersFor(request) {
    return {
      'x-request-id': request.headers['x-request-id'] ?? '',
      'x-instance-id': this.id,
      ...this.marks,
    };
  }

  serve(request, response) {
    const marks = this.headersFor(request);
    if (request.url.startsWith('/v1/report')) {
      request.resume();
      response.writeHead(200, {...marks, 'content-type': 'application/json'});
      response.end(JSON.stringify({born: this.born}));
      return;
    }
    if (request.headers['x-expect-instance'] !== this.id) {
      request.resume();
      response.writeHead(421, {...marks, 'x-not-executed': '1'});
      response.end();
      return;
    }
    const chunks = [];
    request.on('data', chunk => chunks.push(chunk));
    request.on('end', () => {
      const id = request.headers['x-request-id'];
      this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
      this.record.add(
        `${this.id} runs ${id} from ${request.socket.remoteAddress}`,
      );
      this.answer(request, response, Buffer.concat(chunks));
    });
    request.on('error', () => undefined);
  }

  answer(request, response) {
    const id = request.headers['x-request-id'];
    setTimeout(() => {
      if (!this.isUp) return;
      response.writeHead(200, {
        ...this.headersFor(request),
        'x-response-seal': `${this.id}.${id}`,
      });
      response.end(`done ${id}`);
    }, this.workMs);
  }

  close() {
    this.isUp = false;
    this.server.closeAllConnections();
    this.server.close();
  }
}
