/**
 * Stand-in of the platform's store: keyed topics over HTTP/1.1, with
 * `log-append`, `log-read` and `log-newest`, linearizable and lossless.
 */
import {createServer} from 'node:http';

const FOREIGN = new Set(['keyed.op', 'keyed.servers']);

export class Store {
  constructor() {
    /** Topic to its records: {key, value (Buffer or undefined)}. */
    this.topics = new Map();
    this.waiters = new Set();
    this.calls = 0;
    /** Treats a call; returns true if it has dealt with it. */
    this.intercept = undefined;
    this.delayMs = 4;
  }

  async listen(host, port = 0) {
    this.server = createServer((message, response) => {
      this.serve(message, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 60_000;
    await new Promise(done => this.server.listen(port, host, done));
    this.address = `${host}:${this.server.address().port}`;
    return this.address;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  records(topic) {
    let records = this.topics.get(topic);
    if (records === undefined) this.topics.set(topic, (records = []));
    return records;
  }

  append(topic, key, value) {
    const records = this.records(topic);
    records.push({key, value, offset: records.length});
    for (const wake of [...this.waiters]) wake();
    return records.length - 1;
  }

  async serve(message, response) {
    this.calls++;
    const chunks = [];
    for await (const chunk of message) chunks.push(chunk);
    const body = Buffer.concat(chunks);
    const url = new URL(message.url, 'http://store');
    if (this.intercept?.(message, response, url)) return;
    const query = url.searchParams;
    const topic = query.get('topic');
    if (url.pathname === '/v1/log-append') {
      if (FOREIGN.has(topic)) return this.send(response, 403, {});
      const offset = this.records(topic).length;
      for (const {key, value} of decode(body)) this.append(topic, key, value);
      const end = this.records(topic).length;
      return this.send(response, 200, {offset, end});
    }
    if (url.pathname === '/v1/log-read') {
      const from = Number(query.get('from'));
      const until = Date.now() + Number(query.get('waitMs') ?? 0);
      while (this.records(topic).length === from && Date.now() < until) {
        await this.change(until - Date.now(), response);
        if (response.destroyed) return;
      }
      const records = this.records(topic);
      if (from > records.length) return this.send(response, 410, {first: 0});
      const head = Buffer.alloc(16);
      head.writeBigUInt64BE(BigInt(records.length), 0);
      const parts = [head];
      const limit = Number(query.get('maxKb') ?? 1024) * 1024;
      let size = 0;
      for (const record of records.slice(from)) {
        const bytes = encode(record);
        size += bytes.length;
        if (size > limit && parts.length > 1) break;
        parts.push(bytes);
      }
      return this.send(response, 200, Buffer.concat(parts));
    }
    if (url.pathname === '/v1/log-newest') {
      const newest = new Map();
      for (const record of this.records(topic)) {
        newest.delete(record.key);
        if (record.value !== undefined) newest.set(record.key, record);
      }
      const after = query.get('after') ?? '';
      const rest = [...newest.values()]
        .filter(({key}) => key > after)
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      const items = rest.slice(0, 500).map(({key, value, offset}) => ({
        key,
        value: value.toString('base64'),
        offset,
      }));
      const end = this.records(topic).length;
      const hasMore = rest.length > items.length;
      return this.send(response, 200, {items, hasMore, end});
    }
    return this.send(response, 404, {});
  }

  change(ms, response) {
    return new Promise(resolve => {
      const finish = () => {
        clearTimeout(timeout);
        this.waiters.delete(finish);
        response.off('close', finish);
        resolve();
      };
      const timeout = setTimeout(finish, ms);
      this.waiters.add(finish);
      response.once('close', finish);
    });
  }

  async send(response, status, value) {
    const body = Buffer.isBuffer(value)
      ? value
      : Buffer.from(JSON.stringify(value));
    await new Promise(done => setTimeout(done, this.delayMs));
    if (response.destroyed) return;
    response.writeHead(status, {
      'content-type': Buffer.isBuffer(value)
        ? 'application/octet-stream'
        : 'application/json',
      'content-length': body.length,
      'Store-Era': '1',
    });
    response.end(body);
  }
}

function encode({key, value = Buffer.alloc(0)}) {
  const name = Buffer.from(key);
  const head = Buffer.alloc(5);
  head.writeUInt32BE(1 + name.length + value.length, 0);
  head[4] = name.length;
  return Buffer.concat([head, name, value]);
}

function* decode(body) {
  for (let at = 0; at < body.length;) {
    const end = at + 4 + body.readUInt32BE(at);
    const start = at + 5 + body[at + 4];
    const value = body.subarray(start, end);
    yield {
      key: body.toString('utf8', at + 5, start),
      value: value.length > 0 ? Buffer.from(value) : undefined,
    };
    at = end;
  }
}
