import type {IncomingMessage, ServerResponse} from 'node:http';
import findMyWay from 'find-my-way';
import {readBody, serveRoutes, type StandIn} from './http.js';
import {KeyedLog} from './keyedlog.js';

/** How a stand-in store treats a call. */
export enum Availability {
  Serves = 'serves',
  /** Answers 503: nothing was done. */
  Refuses = 'refuses',
  /** Answers 429: nothing was done. */
  Limits = 'limits',
  /** Resets the connection. */
  Resets = 'resets',
  /** Doesn't answer. */
  Silent = 'silent',
}

/** Configuration of a stand-in store; changes take effect at once. */
export interface KeyedStoreBehaviour {
  /** Treatment of the callers that [[callers]] doesn't name. */
  availability: Availability;
  /** Treatment of single callers, by the address that they call from. */
  callers: Record<string, Availability>;
  /** Whether it refuses to write, to whoever it serves. */
  isReadOnly: boolean;
  /** Time from the decision on an answer until it is sent, in ms. */
  delayMs: number;
  /** Most records in a page of the newest ones. */
  pageRecords: number;
}

/** Calls that a stand-in store received. */
export interface KeyedStoreCalls {
  appends: number;
  reads: number;
  snapshots: number;
  other: number;
  /** Calls of any kind that were not served. */
  failed: number;
}

/** A running stand-in store. */
export interface KeyedStoreStandIn extends StandIn {
  /** What the store holds. Tests write to it for operators and upstreams. */
  log: KeyedLog;
  behaviour: KeyedStoreBehaviour;
  calls: KeyedStoreCalls;
  /** Changes the behaviour, also for calls that wait for records. */
  change(behaviour: Partial<KeyedStoreBehaviour>): void;
}

const DEFAULTS: KeyedStoreBehaviour = {
  availability: Availability.Serves,
  callers: {},
  isReadOnly: false,
  delayMs: 1,
  pageRecords: 500,
};

/** Header that tells the epoch of the store in every answer. */
const EPOCH_HEADER = 'Store-Era';
/** Topics that only operators and upstreams write. */
const FOREIGN_TOPICS = new Set(['keyed.op', 'keyed.servers']);
const OFFSET_BYTES = 8;
const LENGTH_BYTES = 4;
const MAX_PAGE_BYTES = 1024 * 1024;

interface Answer {
  status: number;
  body: Buffer;
}

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

/**
 * Starts a stand-in for the keyed topics of the platform's store:
 * `POST /v1/log-append`, `GET /v1/log-read` and `GET /v1/log-newest`, each with
 * `topic` and `part=0`. `log.restore` brings it back from an older copy.
 */
export async function startKeyedStore(
  port = 0,
  initial: Partial<KeyedStoreBehaviour> = {},
  host?: string,
): Promise<KeyedStoreStandIn> {
  const store = new KeyedStore({...DEFAULTS, ...initial});
  const routes = findMyWay({
    defaultRoute: (message, response) =>
      void store.serve('other', message, response, () => json(404, {})),
  });
  routes.on('POST', '/v1/log-append', (message, response) =>
    store.serve('appends', message, response, async query =>
      store.append(query, await readBody(message)),
    ),
  );
  routes.on('GET', '/v1/log-read', (message, response) =>
    store.serve('reads', message, response, async query => {
      await store.untilReadable(query, response);
      return store.read(query);
    }),
  );
  routes.on('GET', '/v1/log-newest', (message, response) =>
    store.serve('snapshots', message, response, query => store.newest(query)),
  );
  const standIn = await serveRoutes(routes, port, host);
  const {log, behaviour, calls} = store;
  const change = (changed: Partial<KeyedStoreBehaviour>) => {
    Object.assign(behaviour, changed);
    log.wakeAll();
  };
  return {...standIn, log, behaviour, calls, change};
}

class KeyedStore {
  readonly log = new KeyedLog(() => performance.now());
  readonly calls: KeyedStoreCalls = {
    appends: 0,
    reads: 0,
    snapshots: 0,
    other: 0,
    failed: 0,
  };

  constructor(readonly behaviour: KeyedStoreBehaviour) {}

  /** Answers a call, unless the store or this caller is meant to get none. */
  async serve(
    kind: Exclude<keyof KeyedStoreCalls, 'failed'>,
    message: IncomingMessage,
    response: ServerResponse,
    action: (query: URLSearchParams) => Answer | Promise<Answer>,
  ): Promise<void> {
    this.calls[kind]++;
    const query = new URL(message.url ?? '', 'http://store').searchParams;
    const caller = message.socket.remoteAddress ?? '';
    const answer = this.isServed(caller)
      ? await action(query)
      : json(503, {error: 'unavailable'});
    // Its availability may have changed while the call waited.
    const availability = this.availabilityFor(caller);
    if (availability !== Availability.Serves) this.calls.failed++;
    switch (availability) {
      case Availability.Serves:
        return this.send(response, answer);
      case Availability.Refuses:
        return this.send(response, json(503, {error: 'unavailable'}));
      case Availability.Limits:
        return this.send(response, json(429, {error: 'too many calls'}));
      case Availability.Resets:
        message.socket.resetAndDestroy();
        return;
      case Availability.Silent:
        return;
    }
  }

  append(query: URLSearchParams, body: Buffer): Answer {
    if (this.behaviour.isReadOnly) return json(503, {error: 'read only'});
    const topic = query.get('topic') ?? '';
    if (FOREIGN_TOPICS.has(topic)) return json(403, {error: 'not writable'});
    const records = decodeRecords(body);
    if (records === undefined) return json(400, {error: 'truncated record'});
    const offset = this.log.end(topic);
    const at = query.get('at');
    if (at !== null && Number(at) !== offset) return json(412, {end: offset});
    for (const {key, value} of records) this.log.append(topic, key, value);
    return json(200, {offset, end: this.log.end(topic)});
  }

  read(query: URLSearchParams): Answer {
    const topic = query.get('topic') ?? '';
    const from = Number(query.get('from') ?? 0);
    const maxBytes = Number(query.get('maxKb') ?? 1_024) * 1024;
    const records = this.log.read(topic, from);
    const first = this.log.first(topic);
    if (records === undefined) return json(410, {first});
    const head = Buffer.alloc(2 * OFFSET_BYTES);
    head.writeBigUInt64BE(BigInt(this.log.end(topic)), 0);
    head.writeBigUInt64BE(BigInt(first), OFFSET_BYTES);
    const chunks: Buffer[] = [head];
    let bytes = 0;
    for (const {key, value} of records) {
      const chunk = encodeRecord(key, value);
      bytes += chunk.length;
      if (bytes > maxBytes && chunks.length > 1) break;
      chunks.push(chunk);
    }
    return {status: 200, body: Buffer.concat(chunks)};
  }

  newest(query: URLSearchParams): Answer {
    const topic = query.get('topic') ?? '';
    const after = query.get('after') ?? '';
    const rest = this.log
      .newest(topic)
      .filter(({key}) => key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const items = [];
    let bytes = 0;
    for (const {key, value, offset} of rest) {
      const text = value?.toString('base64') ?? '';
      bytes += text.length;
      const isFull =
        items.length >= this.behaviour.pageRecords || bytes > MAX_PAGE_BYTES;
      if (isFull && items.length > 0) break;
      items.push({key, value: text, offset});
    }
    const hasMore = items.length < rest.length;
    return json(200, {items, hasMore, end: this.log.end(topic)});
  }

  /** Waits for a record from `from` on, for `waitMs` or until the caller ends. */
  async untilReadable(
    query: URLSearchParams,
    response: ServerResponse,
  ): Promise<void> {
    const topic = query.get('topic') ?? '';
    const waitMs = Number(query.get('waitMs') ?? 0);
    if (waitMs === 0 || this.log.end(topic) !== Number(query.get('from'))) {
      return;
    }
    await new Promise<void>(resolve => {
      const finish = () => {
        clearTimeout(timeout);
        stopListening();
        response.off('close', finish);
        resolve();
      };
      const timeout = setTimeout(finish, waitMs);
      const stopListening = this.log.onChange(topic, finish);
      response.once('close', finish);
    });
  }

  private availabilityFor(caller: string): Availability {
    return this.behaviour.callers[caller] ?? this.behaviour.availability;
  }

  private isServed(caller: string): boolean {
    return this.availabilityFor(caller) === Availability.Serves;
  }

  private async send(response: ServerResponse, answer: Answer): Promise<void> {
    // A restoration while the answer is on its way doesn't change its epoch.
    const {epoch} = this.log;
    if (this.behaviour.delayMs > 0) await sleep(this.behaviour.delayMs);
    if (response.destroyed) return;
    const {status, body} = answer;
    response.writeHead(status, {
      'content-length': body.length,
      [EPOCH_HEADER]: String(epoch),
    });
    response.end(body);
  }
}

function json(status: number, value: unknown): Answer {
  return {status, body: Buffer.from(JSON.stringify(value))};
}

function encodeRecord(key: string, value: Buffer = Buffer.alloc(0)): Buffer {
  const keyBytes = Buffer.from(key, 'utf8');
  const head = Buffer.alloc(LENGTH_BYTES + 1);
  head.writeUInt32BE(1 + keyBytes.length + value.length, 0);
  head[LENGTH_BYTES] = keyBytes.length;
  return Buffer.concat([head, keyBytes, value]);
}

/** Decodes length-prefixed records; undefined if one is truncated. */
function decodeRecords(
  body: Buffer,
): Array<{key: string; value?: Buffer}> | undefined {
  const records = [];
  let at = 0;
  while (at < body.length) {
    const start = at + LENGTH_BYTES;
    if (start > body.length) return undefined;
    const end = start + body.readUInt32BE(at);
    const valueStart = start + 1 + (body[start] ?? 0);
    if (end > body.length || valueStart > end) return undefined;
    const key = body.toString('utf8', start + 1, valueStart);
    const value = body.subarray(valueStart, end);
    records.push(value.length === 0 ? {key} : {key, value});
    at = end;
  }
  return records;
}
