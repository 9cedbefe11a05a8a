/**
 * A small stand-in for the platform's store: the keyed topics with reads from an
 * offset, the newest records, and appends. It always serves.
 */
import http from 'node:http';

/** Header of all answers; it rises only when the store returns from a copy. */
const ERA = {'store-era': '1'};
const OFFSET_BYTES = 8;
const LENGTH_BYTES = 4;
const FOREIGN_TOPICS = new Set(['keyed.op', 'keyed.servers']);

function encodeRecord({key, value}) {
  const keyBytes = Buffer.from(key);
  const bytes = value ?? Buffer.alloc(0);
  const head = Buffer.alloc(LENGTH_BYTES + 1);
  head.writeUInt32BE(1 + keyBytes.length + bytes.length, 0);
  head[LENGTH_BYTES] = keyBytes.length;
  return Buffer.concat([head, keyBytes, bytes]);
}

function decodeRecords(body) {
  const records = [];
  let at = 0;
  while (at + LENGTH_BYTES < body.length) {
    const start = at + LENGTH_BYTES;
    const end = start + body.readUInt32BE(at);
    const valueStart = start + 1 + body[start];
    const value = body.subarray(valueStart, end);
    records.push({
      key: body.toString('utf8', start + 1, valueStart),
      ...(value.length === 0 ? {} : {value: Buffer.from(value)}),
    });
    at = end;
  }
  return records;
}

/** The platform's store on a loopback address. */
export class Store {
  #topics = new Map();
  #waiters = new Set();
  /** Servers by their addresses. */
  #servers = new Map();

  /** Serves at another address, which is returned. */
  async listen(host) {
    const server = http.createServer((request, response) =>
      this.#serve(request, response),
    );
    await new Promise(resolve => server.listen(0, host, resolve));
    const address = `${host}:${server.address().port}`;
    this.#servers.set(address, server);
    return address;
  }

  /** No longer serves at an address. */
  leave(address) {
    const server = this.#servers.get(address);
    this.#servers.delete(address);
    server?.closeAllConnections();
    server?.close();
  }

  close() {
    for (const address of [...this.#servers.keys()]) this.leave(address);
  }

  /** Writes as the operator or a runner does; a value of undefined removes. */
  write(topic, key, value) {
    const records = this.#recordsOf(topic);
    const bytes =
      value === undefined ? undefined : Buffer.from(JSON.stringify(value));
    records.push({
      key,
      offset: records.length,
      ...(bytes === undefined ? {} : {value: bytes}),
    });
    this.#wake();
  }

  #recordsOf(topic) {
    const records = this.#topics.get(topic) ?? [];
    this.#topics.set(topic, records);
    return records;
  }

  #wake() {
    for (const wake of [...this.#waiters]) wake();
  }

  async #serve(request, response) {
    const url = new URL(request.url, 'http://store');
    const topic = url.searchParams.get('topic') ?? '';
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const records = this.#recordsOf(topic);
    switch (`${request.method} ${url.pathname}`) {
      case 'POST /v1/log-append': {
        if (FOREIGN_TOPICS.has(topic)) return json(response, 403, {});
        const offset = records.length;
        for (const {key, value} of decodeRecords(Buffer.concat(chunks))) {
          records.push({key, offset: records.length, value});
        }
        this.#wake();
        return json(response, 200, {offset, end: records.length});
      }
      case 'GET /v1/log-newest': {
        const newest = new Map(records.map(record => [record.key, record]));
        const items = [...newest.values()]
          .filter(({value}) => value !== undefined)
          .map(({key, value, offset}) => ({
            key,
            value: value.toString('base64'),
            offset,
          }));
        const end = records.length;
        return json(response, 200, {items, hasMore: false, end});
      }
      case 'GET /v1/log-read': {
        const from = Number(url.searchParams.get('from'));
        const waitMs = Number(url.searchParams.get('waitMs') ?? 0);
        if (from >= records.length && waitMs > 0) {
          await this.#untilChange(waitMs, response);
        }
        if (from > records.length) return json(response, 410, {first: 0});
        const head = Buffer.alloc(2 * OFFSET_BYTES);
        head.writeBigUInt64BE(BigInt(records.length), 0);
        const body = Buffer.concat([
          head,
          ...records.slice(from).map(encodeRecord),
        ]);
        response.writeHead(200, {...ERA, 'content-length': body.length});
        response.end(body);
        return undefined;
      }
      default:
        return json(response, 404, {});
    }
  }

  #untilChange(waitMs, response) {
    return new Promise(resolve => {
      const finish = () => {
        clearTimeout(timeout);
        this.#waiters.delete(finish);
        resolve();
      };
      const timeout = setTimeout(finish, waitMs);
      this.#waiters.add(finish);
      response.once('close', finish);
    });
  }
}

function json(response, status, value) {
  const body = JSON.stringify(value);
  response.writeHead(status, {
    ...ERA,
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  });
  response.end(body);
}
