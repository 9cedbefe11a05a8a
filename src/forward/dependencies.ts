import type {Logger} from 'pino';
import type {StreamOrigins} from '../origin/index.js';
import type {Path} from '../relay/index.js';
import type {RegistryEntry} from '../registry/index.js';
import type {Routing} from '../route/index.js';
import type {Timer} from '../timer/index.js';
import type {Answers} from './answers.js';
import type {ByteBudget} from './bytebudget.js';
import type {ChunkLimit} from './chunklimit.js';
import type {Endpoint} from './endpoint.js';
import type {PromptGuard} from './promptguard.js';
import type {ResponseObserver} from './responseobserver.js';
import type {ServiceState} from './servicestate.js';
import type {ForwardMetrics} from './metrics.js';
import type {Prompt, Protocol} from './protocol.js';
import type {Witnesses} from './witnesses.js';

/** Dependencies of [[Exchange]] and [[Listener]]. */
export interface ForwardDependencies {
  routing: Routing;
  protocol: Protocol;
  timer: Timer;
  logger: Logger;
  metrics: ForwardMetrics;
  /** Source of randomness in [0, 1). */
  random: () => number;
  /** Whether a silent upstream answers a probe on another connection. */
  isAlive(endpoint: Endpoint, path: Path): Promise<boolean>;
  /** Tell who ended the answers without a length. */
  witnesses: Pick<Witnesses, 'prepare' | 'attend' | 'noteFramed'>;
  /**
   * Whether this instance reaches an upstream without a peer, as far as known.
   * If not, failures may be due to its own links.
   */
  reachesDirectly: (endpoint: Endpoint) => boolean;
  /** Called when an upstream sends nothing on a direct connection. */
  noteSilence(endpoint: Endpoint): void;
  /** Newest entry of an upstream; undefined if it isn't registered. */
  entryOf(upstream: string): RegistryEntry | undefined;
  /** Resolves when the entries are current, or the store may be away. */
  untilEntriesCurrent: () => Promise<void>;
  /** Requests of a connection that may wait for earlier ones. */
  maxRequestsAhead: number;
  /** Memory for the bodies of requests. */
  bodies: ByteBudget;
  /** Processor time for bodies in small chunks. */
  smallChunks: ChunkLimit;
  answers: Answers;
  observer: ResponseObserver;
  promptGuard: PromptGuard;
  /** Where streams began that callers may take up. */
  origins: StreamOrigins;
  /** Whether prompts may be forwarded: the holds on their parts are known. */
  mayForwardPrompts(): boolean;
  /** Called for each prompt that is sent to an upstream. */
  promptSent(endpoint: Endpoint, prompt: Prompt): void;
  /** Ms since the configuration was known to be current. */
  configurationAgeMs(): number | undefined;
  /** State of a service; created on first use. */
  serviceStateOf(service: string): ServiceState;
  /**
   * Whether a request can take up to `limitMs` ms before this instance stops.
   */
  canServeFor(limitMs: number): boolean;
  /** Aborts when the instance ends. */
  instanceSignal: AbortSignal;
  /** Whether the instance drains, and closes connections after a response. */
  isDraining: () => boolean;
}
