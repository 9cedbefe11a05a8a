import type {Result} from 'neverthrow';
import type {
  FailureConclusion,
  Placement,
  PlacementHistory,
  ParsedRequest,
} from '../request/index.js';
import type {Ticket} from '../workspace/index.js';

/** One request that waits for a placement. */
export interface QueueEntry {
  work: ParsedRequest;
  history: PlacementHistory;
  /** Aborts when the caller goes away. */
  signal: AbortSignal;
  /** Key of the upstreams that can serve it; see [[demandKey]]. */
  demandKey: string;
  /** Tokens of service expected, prompt and answer together. */
  costTokens: number;
  promptTokens: number;
  /** Hashes of the prompt's full blocks. */
  blocks: readonly string[];
  queuedAt: number;
  /** Latest start at which every target of its class can be met. */
  latestStartAt: number;
  /** Latest start at which any answer can begin before its deadline. */
  latestUsefulStartAt: number;
  /** When a late request regains the order of its tier. */
  priorityRestoredAt: number;
  /** Place in its fair queue, while it waits. */
  ticket?: Ticket<QueueEntry>;
  /** Whether it waits among those that can't meet their targets any more. */
  late: boolean;
  /** Ends the wait with a placement or an ending; later calls are ignored. */
  settle(result: Result<Placement, FailureConclusion>): void;
}

/** Tier of a request; 0 is the highest. */
export function tierOf(entry: QueueEntry): number {
  return entry.work.serviceClass.tier;
}

/** Blocks that decide on the agreed home of a prefix. */
const PREFIX_BLOCKS = 8;

/** Key of the prefix a prompt shares with others; none if it is short. */
export function prefixKey({blocks}: QueueEntry): string | undefined {
  return blocks[Math.min(PREFIX_BLOCKS, blocks.length) - 1];
}
