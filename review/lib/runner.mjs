/** Stand-in of a runner: serves requests, and registers itself in the store. */
import {createServer} from 'node:http';

const SYSTEM_PATHS = new Set(['/v1/report', '/healthz']);

export class Runner {
  /**
   * `respond(run, response)` answers a request that runs; by default at once,
   * whole and sealed.
   */
  constructor(
    store,
    {id, service, host, zone = 'zone-a', slots = 6, version = 'v1', respond},
  ) {
    Object.assign(this, {store, id, service, host, zone, slots, version});
    this.respond = respond ?? ((run, response) => this.whole(run, response));
    this.born = Date.now();
    this.seq = 0;
    this.state = 'ready';
    this.running = 0;
    /** Requests that began to run. */
    this.runs = [];
    this.sockets = new Set();
    /** Addresses of machines whose connections are reset. */
    this.cutFrom = new Set();
  }

  async start({port = 0, heartbeatMs = 1_200} = {}) {
    this.server = createServer((message, response) => {
      this.serve(message, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 15_000;
    this.server.on('connection', socket => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
      if (this.cutFrom.has(socket.remoteAddress)) socket.resetAndDestroy();
    });
    await new Promise(done => this.server.listen(port, this.host, done));
    this.port = this.server.address().port;
    this.register();
    this.beat = setInterval(() => this.register(), heartbeatMs);
    return this;
  }

  register() {
    this.store.append('keyed.servers', this.id, this.nextEntry());
  }

  nextEntry() {
    const {service, zone, slots, version, state, born} = this;
    const entry = {
      service,
      address: `${this.host}:${this.port}`,
      zone,
      version,
      slots,
      state,
      coldRemainingMs: 0,
      seq: ++this.seq,
      born,
    };
    return Buffer.from(JSON.stringify(entry));
  }

  /** Partitions a machine from this runner: its connections are reset. */
  cut(address) {
    this.cutFrom.add(address);
    for (const socket of this.sockets) {
      if (socket.remoteAddress === address) socket.resetAndDestroy();
    }
  }

  heal(address) {
    this.cutFrom.delete(address);
  }

  remove() {
    clearInterval(this.beat);
    this.store.append('keyed.servers', this.id, undefined);
  }

  stop() {
    clearInterval(this.beat);
    this.server.close();
    this.server.closeAllConnections();
  }

  head(request) {
    return {
      'x-request-id': request,
      'x-server-load': `${this.running},0,${this.slots}`,
    };
  }

  seal(run) {
    return `${this.id}.${run.id}`;
  }

  async serve(message, response) {
    const {headers} = message;
    const id = headers['x-request-id'] ?? '';
    const chunks = [];
    for await (const chunk of message) chunks.push(chunk);
    if (SYSTEM_PATHS.has(message.url)) {
      const report = {stage: 'colocated', models: [], busy: false};
      const body = JSON.stringify({...report, born: this.born});
      response.writeHead(200, {...this.head(id), 'x-instance-id': this.id});
      response.end(body);
      return;
    }
    const at = Date.now();
    const expected = headers['x-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, {...this.head(id), 'x-instance-id': this.id});
      response.end();
      return;
    }
    const run = {
      at,
      id,
      runner: this.id,
      version: this.version,
      method: message.method,
      path: message.url,
      headers,
      body: Buffer.concat(chunks),
    };
    this.runs.push(run);
    this.running++;
    response.once('close', () => this.running--);
    await this.respond(run, response);
  }

  whole(run, response, text = `answer to ${run.id}`) {
    response.writeHead(200, {
      ...this.head(run.id),
      'x-response-seal': this.seal(run),
      'content-length': Buffer.byteLength(text),
    });
    response.end(text);
  }
}
