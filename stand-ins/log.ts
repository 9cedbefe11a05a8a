import {EventEmitter} from 'node:events';
import findMyWay from 'find-my-way';
import {
  readBody,
  readJson,
  sendJson,
  serveRoutes,
  type StandIn,
} from './http.js';
import {ReseedableRandom} from './random.js';

/** How the stand-in log behaves. */
export interface LogBehaviour {
  /** Appends a second the log takes; more are refused with 429. */
  appendsPerSecond: number;
  /** Age in ms at which a record may be dropped. */
  retentionMs: number;
  /** Delay of every answer in ms. */
  delayMs: number;
  /** While true, every call is refused with 503. */
  down: boolean;
  /** Share of appends that take effect while their answer is lost. */
  lostAnswerShare: number;
  /** Share of appends that are lost before they take effect, without answer. */
  lostAppendShare: number;
  /** Share of reads that a replica answers. */
  staleReadShare: number;
  /** How far the replica's records are behind, in ms. */
  replicaLagMs: number;
  /** Seed of everything random. */
  seed: number;
}

const DEFAULTS: LogBehaviour = {
  appendsPerSecond: 400,
  retentionMs: 3_600_000,
  delayMs: 1,
  down: false,
  lostAnswerShare: 0,
  lostAppendShare: 0,
  staleReadShare: 0,
  replicaLagMs: 0,
  seed: 1,
};

interface StoredRecord {
  offset: number;
  time: number;
  value: unknown;
}

/** One stream of records, oldest first. */
class RecordStream {
  records: StoredRecord[] = [];
  nextOffset = 0;

  append(value: unknown): number {
    const offset = this.nextOffset++;
    this.records.push({offset, time: Date.now(), value});
    return offset;
  }

  /** Drops records older than the retention period. */
  expire(retentionMs: number): void {
    const limit = Date.now() - retentionMs;
    const keep = this.records.findIndex(record => record.time >= limit);
    if (keep === -1) this.records = [];
    else if (keep > 0) this.records.splice(0, keep);
  }

  get firstOffset(): number {
    return this.records[0]?.offset ?? this.nextOffset;
  }

  /** Records from an offset on that were appended before `until`. */
  page(from: number, limit: number, until = Infinity) {
    const start = Math.max(0, from - this.firstOffset);
    const seen = this.records
      .slice(start, start + limit)
      .filter(({time}) => time <= until);
    const hidden = this.records.find(({time}) => time > until);
    const next = hidden?.offset ?? this.nextOffset;
    return {records: seen, first: Math.min(this.firstOffset, next), next};
  }
}

/** A token bucket that holds one second of appends. */
class TokenBucket {
  private tokens: number;
  private refilledAt = performance.now();

  constructor(private rate: number) {
    this.tokens = rate;
  }

  tryTake(rate: number): boolean {
    const now = performance.now();
    this.rate = rate;
    this.tokens = Math.min(
      this.rate,
      this.tokens + ((now - this.refilledAt) / 1000) * this.rate,
    );
    this.refilledAt = now;
    if (this.tokens < 1) return false;
    this.tokens--;
    return true;
  }
}

/** The running stand-in, with its behaviour open to change. */
export interface LogStandIn extends StandIn {
  behaviour: LogBehaviour;
}

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

/**
 * Starts a stand-in for the platform's append-only log.
 * `POST /streams/NAME/records` appends the JSON body and answers its offset;
 * `GET /streams/NAME/records?from&limit&waitMs` reads, waiting for news;
 * `PUT /behaviour` changes [[LogBehaviour]] and `GET /usage` counts calls.
 */
export async function startLog(
  port = 0,
  initial: Partial<LogBehaviour> = {},
): Promise<LogStandIn> {
  const behaviour = {...DEFAULTS, ...initial};
  const streams = new Map<string, RecordStream>();
  const news = new EventEmitter();
  news.setMaxListeners(0);
  const quota = new TokenBucket(behaviour.appendsPerSecond);
  const usage = {appends: 0, refused: 0, reads: 0};
  const random = new ReseedableRandom(behaviour.seed);
  const happens = (share: number) =>
    share > 0 && random.next(behaviour.seed) < share;

  const streamOf = (name: string): RecordStream => {
    const stream = streams.get(name) ?? new RecordStream();
    streams.set(name, stream);
    stream.expire(behaviour.retentionMs);
    return stream;
  };

  const routes = findMyWay();
  routes.on('POST', '/streams/:name/records', async (message, response, p) => {
    const body = await readBody(message);
    if (behaviour.down) return sendJson(response, 503, {error: 'down'});
    if (!quota.tryTake(behaviour.appendsPerSecond)) {
      usage.refused++;
      return sendJson(response, 429, {error: 'too many appends'});
    }
    const name = p['name'] ?? '';
    if (happens(behaviour.lostAppendShare)) {
      response.destroy();
      return;
    }
    usage.appends++;
    const offset = streamOf(name).append(JSON.parse(body.toString('utf8')));
    news.emit(name);
    await sleep(behaviour.delayMs);
    if (happens(behaviour.lostAnswerShare)) {
      response.destroy();
      return;
    }
    sendJson(response, 200, {offset});
  });
  routes.on('GET', '/streams/:name/records', async (message, response, p) => {
    usage.reads++;
    if (behaviour.down) return sendJson(response, 503, {error: 'down'});
    const name = p['name'] ?? '';
    const query = new URL(message.url ?? '', 'http://log').searchParams;
    const from = Number(query.get('from') ?? 0);
    const limit = Number(query.get('limit') ?? 500);
    const waitMs = Number(query.get('waitMs') ?? 0);
    if (streamOf(name).nextOffset <= from && waitMs > 0) {
      await waitForAppend(news, name, waitMs);
    }
    await sleep(behaviour.delayMs);
    if (behaviour.down) return sendJson(response, 503, {error: 'down'});
    const stale = happens(behaviour.staleReadShare);
    const until = stale ? Date.now() - behaviour.replicaLagMs : Infinity;
    sendJson(response, 200, streamOf(name).page(from, limit, until));
  });
  routes.on('PUT', '/behaviour', async (message, response) => {
    Object.assign(behaviour, await readJson(message));
    sendJson(response, 200, behaviour);
  });
  routes.on('GET', '/usage', (_message, response) => {
    sendJson(response, 200, usage);
  });
  const standIn = await serveRoutes(routes, port);
  return {...standIn, behaviour};
}

function waitForAppend(
  news: EventEmitter,
  name: string,
  waitMs: number,
): Promise<void> {
  return new Promise(resolve => {
    const finish = () => {
      clearTimeout(handle);
      news.off(name, finish);
      resolve();
    };
    const handle = setTimeout(finish, waitMs);
    news.on(name, finish);
  });
}
