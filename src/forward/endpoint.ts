import type {RegistryEntry} from '../registry/index.js';
import {Path, type UpstreamDialer} from '../relay/index.js';
import type {Engine} from '../route/index.js';
import {SystemTimer, type Timer} from '../timer/index.js';
import {PromptCacheModel} from './promptcache.js';
import {ConnectionPool} from './connectionpool.js';
import {DirectDialer} from './directdialer.js';
import {Health} from './health.js';
import {OwnLoad} from './load.js';
import {Pause, type Trial} from './pause.js';
import type {Prompt} from './protocol.js';
import {RateLimit} from './ratelimit.js';

/** One run of an upstream process: its connections, health and load. */
export class Endpoint {
  readonly health = new Health();
  readonly connections: ConnectionPool;
  /** Load that this instance has put on it. */
  readonly ownLoad = new OwnLoad();
  /** Prompt cache estimate; absent unless the upstream is an engine. */
  promptCache?: PromptCacheModel;
  /** When the upstream last sent data, in monotonic ms. */
  private readonly heardAt: Record<Path, number> = {
    [Path.Direct]: -Infinity,
    [Path.Relayed]: -Infinity,
  };

  constructor(
    public entry: RegistryEntry,
    localAddress: string,
    /** The pause that its process asked for, if any. */
    readonly pause = new Pause(),
    /** The rate that its process declares, if any. */
    readonly limit = new RateLimit(),
    dialer: UpstreamDialer = new DirectDialer(localAddress),
    timer: Pick<Timer, 'now'> = new SystemTimer(),
  ) {
    const {id, service, host, port} = entry;
    this.connections = new ConnectionPool(
      {id, service, host, port},
      dialer,
      timer,
    );
  }

  get id(): string {
    return this.entry.id;
  }

  noteHeard(path: Path, now: number): void {
    this.heardAt[path] = now;
  }

  /** When it last sent data on connections of one way, in monotonic ms. */
  lastHeardBy(path: Path): number {
    return this.heardAt[path];
  }

  /** When it last sent data on any connection, in monotonic ms. */
  get lastHeardAt(): number {
    return Math.max(...Object.values(this.heardAt));
  }

  /** Sets the cache capacity if the upstream is an engine. */
  configure(engine: Engine | undefined): void {
    if (engine === undefined) return;
    this.promptCache ??= new PromptCacheModel(engine.kvCacheTokens);
  }

  /**
   * Adds a placed request to the load and the prompt cache estimate, and uses a
   * permit for it. Returns a trial if the request is the first after a pause.
   */
  recordPlacement(
    {prompt, tier}: {prompt?: Prompt; tier: number},
    freshTokens: number,
    now: number,
  ): Trial | undefined {
    this.ownLoad.add(tier, freshTokens, now);
    this.limit.take(now);
    if (prompt !== undefined) this.promptCache?.add(prompt.parts);
    return this.pause.place(now);
  }

  /** Closes idle connections now and busy ones after their requests. */
  retire(): void {
    this.connections.retire();
  }
}
