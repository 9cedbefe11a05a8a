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

/** Configuration of the stand-in log. */
export interface LogBehaviour {
  /** Maximum rate of appends; further ones are refused with 429. */
  appendsPerSecond: number;
  /** Age in ms above which records are dropped. */
  retentionMs: number;
  /** Delay of every answer, in ms. */
  delayMs: number;
  /** While true, every call is refused with 503. */
  down: boolean;
  /** Share of appends that take effect but whose answer is lost, 0 to 1. */
  lostAnswerShare: number;
  /** Share of appends that neither take effect nor are answered, 0 to 1. */
  lostAppendShare: number;
  /** Share of reads that a lagging replica answers, 0 to 1. */
  staleReadShare: number;
  /** How far that replica is behind, in ms. */
  replicaLagMs: number;
  /** Seed of all random decisions. */
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
    const oldestTime = Date.now() - retentionMs;
    const firstKept = this.records.findIndex(
      record => record.time >= oldestTime,
    );
    if (firstKept === -1) this.records = [];
    else if (firstKept > 0) this.records.splice(0, firstKept);
  }

  get firstOffset(): number {
    return this.records[0]?.offset ?? this.nextOffset;
  }

  /**
   * At most `limit` records from offset `from` on. Hides records appended after
   * `until`, a wall-clock time in ms, as a lagging replica does.
   */
  page(from: number, limit: number, until = Infinity) {
    const start = Math.max(0, from - this.firstOffset);
    const visible = this.records
      .slice(start, start + limit)
      .filter(({time}) => time <= until);
    const firstHidden = this.records.find(({time}) => time > until);
    const next = firstHidden?.offset ?? this.nextOffset;
    return {records: visible, first: Math.min(this.firstOffset, next), next};
  }
}

/** A rate limiter; the bucket holds one second's worth of tokens. */
class TokenBucket {
  private tokens: number;
  private refilledAt = performance.now();

  constructor(private rate: number) {
    this.tokens = rate;
  }

  /** Takes a token if there is one; `rate` is the refill per second. */
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

/** A running stand-in log. */
export interface LogStandIn extends StandIn {
  /** Changes take effect at once. */
  behaviour: LogBehaviour;
}

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

/**
 * Starts a stand-in for the platform's append-only log.
 * `POST /streams/NAME/records` appends the JSON body and answers its offset.
 * `GET /streams/NAME/records?from&limit&waitMs` reads records, and waits up to
 * `waitMs` for an append if there are none from `from` on. `PUT /behaviour`
 * changes [[LogBehaviour]], and `GET /usage` answers the numbers of calls.
 */
export async function startLog(
  port = 0,
  initial: Partial<LogBehaviour> = {},
): Promise<LogStandIn> {
  const behaviour = {...DEFAULTS, ...initial};
  const streams = new Map<string, RecordStream>();
  const appends = new EventEmitter();
  appends.setMaxListeners(0);
  const appendQuota = new TokenBucket(behaviour.appendsPerSecond);
  const usage = {appends: 0, refused: 0, reads: 0};
  const random = new ReseedableRandom(behaviour.seed);
  const faultOccurs = (share: number) =>
    share > 0 && random.next(behaviour.seed) < share;

  const streamOf = (name: string): RecordStream => {
    const stream = streams.get(name) ?? new RecordStream();
    streams.set(name, stream);
    stream.expire(behaviour.retentionMs);
    return stream;
  };

  const routes = findMyWay();
  routes.on(
    'POST',
    '/streams/:name/records',
    async (message, response, params) => {
      const body = await readBody(message);
      if (behaviour.down) return sendJson(response, 503, {error: 'down'});
      if (!appendQuota.tryTake(behaviour.appendsPerSecond)) {
        usage.refused++;
        return sendJson(response, 429, {error: 'too many appends'});
      }
      const name = params['name'] ?? '';
      if (faultOccurs(behaviour.lostAppendShare)) {
        response.destroy();
        return;
      }
      usage.appends++;
      const offset = streamOf(name).append(JSON.parse(body.toString('utf8')));
      appends.emit(name);
      await sleep(behaviour.delayMs);
      if (faultOccurs(behaviour.lostAnswerShare)) {
        response.destroy();
        return;
      }
      sendJson(response, 200, {offset});
    },
  );
  routes.on(
    'GET',
    '/streams/:name/records',
    async (message, response, params) => {
      usage.reads++;
      if (behaviour.down) return sendJson(response, 503, {error: 'down'});
      const name = params['name'] ?? '';
      const query = new URL(message.url ?? '', 'http://log').searchParams;
      const from = Number(query.get('from') ?? 0);
      const limit = Number(query.get('limit') ?? 500);
      const waitMs = Number(query.get('waitMs') ?? 0);
      if (streamOf(name).nextOffset <= from && waitMs > 0) {
        await waitForAppend(appends, name, waitMs);
      }
      await sleep(behaviour.delayMs);
      if (behaviour.down) return sendJson(response, 503, {error: 'down'});
      const stale = faultOccurs(behaviour.staleReadShare);
      const until = stale ? Date.now() - behaviour.replicaLagMs : Infinity;
      sendJson(response, 200, streamOf(name).page(from, limit, until));
    },
  );
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

/** Resolves at the next append to a stream, or after `waitMs`. */
function waitForAppend(
  appends: EventEmitter,
  stream: string,
  waitMs: number,
): Promise<void> {
  return new Promise(resolve => {
    const finish = () => {
      clearTimeout(timer);
      appends.off(stream, finish);
      resolve();
    };
    const timer = setTimeout(finish, waitMs);
    appends.on(stream, finish);
  });
}
