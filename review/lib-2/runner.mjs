/** A small stand-in for the runners of a service, and for the links to them. */
import http from 'node:http';
import net from 'node:net';
import {loopback} from './gateway.mjs';

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

  /** Where the system reaches it: its own address, or that of a link. */
  get address() {
    return this.link ?? `${this.host}:${this.port}`;
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

/** How the link between callers and a runner treats some callers. */
export const Cut = {Hang: 'hang', Reset: 'reset', Refuse: 'refuse'};

/** A link in front of a runner, which can be cut for some callers. */
export class Link {
  #pairs = new Set();
  #server = net.createServer({pauseOnConnect: true}, socket =>
    this.#accept(socket),
  );
  /** Callers that are cut off. */
  callers = new Set();
  cut = undefined;

  constructor(runner) {
    this.runner = runner;
  }

  async open(host) {
    await new Promise(resolve => this.#server.listen(0, host, resolve));
    this.runner.link = `${host}:${this.#server.address().port}`;
  }

  /** Cuts callers off, by their addresses. */
  apply(cut, callers) {
    this.cut = cut;
    this.callers = new Set(callers);
    for (const pair of this.#pairs) {
      if (!this.callers.has(pair.caller)) continue;
      if (cut === Cut.Reset) {
        pair.near.resetAndDestroy();
        pair.far.resetAndDestroy();
      } else if (cut === Cut.Hang) {
        pair.isSilent = true;
        pair.near.pause();
        pair.far.pause();
      }
    }
  }

  /** Ends the cut; what hung stays silent for good. */
  heal() {
    this.callers.clear();
  }

  #accept(near) {
    near.on('error', () => undefined);
    const caller = near.remoteAddress;
    if (this.callers.has(caller)) {
      if (this.cut === Cut.Hang) return;
      near.resetAndDestroy();
      return;
    }
    const far = net.connect({
      host: this.runner.host,
      port: this.runner.port,
      localAddress: caller,
    });
    far.on('error', () => undefined);
    const pair = {caller, near, far, isSilent: false};
    this.#pairs.add(pair);
    const pass = (from, to) => {
      from.on('data', chunk => {
        if (!to.write(chunk)) {
          from.pause();
          to.once('drain', () => {
            if (!pair.isSilent) from.resume();
          });
        }
      });
      from.on('end', () => {
        if (pair.isSilent) return;
        // A reset that is read with the last bytes looks like an end, but for this.
        if (from.remoteAddress === undefined) to.resetAndDestroy();
        else to.end();
      });
      from.on('close', hadError => {
        if (pair.isSilent) return;
        this.#pairs.delete(pair);
        if (hadError) to.resetAndDestroy();
        else to.destroy();
      });
    };
    pass(near, far);
    pass(far, near);
    near.setNoDelay(true);
    far.setNoDelay(true);
    near.resume();
  }

  close() {
    for (const {near, far} of this.#pairs) {
      near.destroy();
      far.destroy();
    }
    this.#server.close();
  }
}
