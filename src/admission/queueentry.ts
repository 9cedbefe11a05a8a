import type {Result} from 'neverthrow';
import type {
  FailureConclusion,
  Placement,
  PlacementHistory,
  ParsedRequest,
} from '../request/index.js';
import type {Ticket} from '../workspace/index.js';

/** A request in the wait queue, and later the running attempt's request. */
export interface QueueEntry {
  work: ParsedRequest;
  history: PlacementHistory;
  /** Aborts when the caller goes away. */
  signal: AbortSignal;
  /** [[demandKey]]; requests with equal keys can use the same upstreams. */
  demandKey: string;
  /** Prompt tokens plus expected answer tokens; the cost in fair queueing. */
  costTokens: number;
  promptTokens: number;
  /** Hashes of the prompt's full blocks, to match against prefix caches. */
  blocks: readonly string[];
  /** Monotonic ms, like the other times. */
  queuedAt: number;
  /** Latest start at which it is expected to meet its targets and deadline. */
  latestStartAt: number;
  /** Latest start at which the first token is expected before the deadline. */
  latestUsefulStartAt: number;
  /** When a late request is again scheduled in the order of its tier. */
  priorityRestoredAt: number;
  /** Handle returned by the fair queue that it was last added to. */
  ticket?: Ticket<QueueEntry>;
  /** Whether `latestStartAt` had passed when it was last queued or checked. */
  late: boolean;
  /** Ends the wait: `Ok` if it starts, else `Err`. Later calls do nothing. */
  settle(result: Result<Placement, FailureConclusion>): void;
}

/** Priority tier of a request; 0 is the highest. */
export function tierOf(entry: QueueEntry): number {
  return entry.work.serviceClass.tier;
}

/** Leading prompt blocks that form the key of a prefix. */
const PREFIX_KEY_BLOCKS = 8;

/**
 * Key under which the prefix of a prompt is looked up on the consistent-hash
 * ring: the hash of its block number `PREFIX_KEY_BLOCKS`, or of its last block
 * if it has fewer. Undefined for a prompt shorter than one block.
 */
export function prefixKey({blocks}: QueueEntry): string | undefined {
  return blocks[Math.min(PREFIX_KEY_BLOCKS, blocks.length) - 1];
}
