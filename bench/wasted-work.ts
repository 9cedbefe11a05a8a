import {
  TOKENS_PER_BLOCK,
  prefixBlocks,
  promptText,
  type PromptBody,
} from '../src/upstream/index.js';
import {
  CacheEvents,
  PrefixCache,
  type EngineBehaviour,
  type EngineExecution,
} from '../stand-ins/index.js';
import type {ServedRequest} from './open-loop-load.js';

/** Work of engines, in prompt tokens computed and output tokens generated. */
export interface EngineWork {
  total: number;
  /** Work for requests whose caller received no complete answer. */
  undelivered: number;
  /** Prefill work on prefixes that another runner had in its cache. */
  recomputed: number;
  promptTokens: number;
  cachedTokens: number;
}

/** Executions of one runner, and its configured behaviour. */
export interface RunnerJournal {
  executions: readonly EngineExecution[];
  behaviour: EngineBehaviour;
}

/** Length of a request id; the ids of later attempts add a suffix to it. */
const REQUEST_ID_LENGTH = 36;

type RequestBody = PromptBody & {model: string};

/** Replays executions to reconstruct the prefix cache of each runner. */
class CacheReplay {
  private readonly caches: PrefixCache[];

  constructor(journals: readonly RunnerJournal[]) {
    this.caches = journals.map(
      ({behaviour}) => new PrefixCache(behaviour, new CacheEvents(behaviour)),
    );
  }

  /** Longest cached prefix on any other runner than this, in tokens. */
  tokensCachedElsewhere(runner: number, blocks: readonly string[]): number {
    let mostBlocks = 0;
    this.caches.forEach((cache, index) => {
      if (index === runner) return;
      let count = 0;
      while (count < blocks.length && cache.has(blocks[count] ?? '')) count++;
      mostBlocks = Math.max(mostBlocks, count);
    });
    return mostBlocks * TOKENS_PER_BLOCK;
  }

  store(runner: number, blocks: readonly string[]): void {
    this.caches[runner]?.match(blocks);
    this.caches[runner]?.store(blocks);
  }
}

/** Sums the work of all runners and the parts of it that were wasted. */
export function sumEngineWork(
  journals: readonly RunnerJournal[],
  served: readonly ServedRequest[],
): EngineWork {
  const bodies = new Map<string, RequestBody>();
  const delivered = new Set<string>();
  for (const {arrival, reply} of served) {
    if (reply === undefined) continue;
    bodies.set(reply.id, arrival.body as RequestBody);
    if (reply.outcome === 'completed' && reply.ended) delivered.add(reply.id);
  }
  const work: EngineWork = {
    total: 0,
    undelivered: 0,
    recomputed: 0,
    promptTokens: 0,
    cachedTokens: 0,
  };
  const replay = new CacheReplay(journals);
  const ordered = journals
    .flatMap(({executions}, runner) =>
      executions.map(execution => ({execution, runner})),
    )
    .sort((a, b) => a.execution.startedAt - b.execution.startedAt);
  for (const {execution, runner} of ordered) {
    const id = execution.id.slice(0, REQUEST_ID_LENGTH);
    const {computedTokens, tokens, cachedTokens, promptTokens} = execution;
    work.total += computedTokens + tokens;
    work.promptTokens += promptTokens;
    work.cachedTokens += cachedTokens;
    const body = bodies.get(id);
    const blocks =
      body === undefined ? [] : prefixBlocks(body.model, promptText(body));
    if (execution.cancelled || !delivered.delete(id)) {
      work.undelivered += computedTokens + tokens;
    } else {
      const cachedElsewhere = replay.tokensCachedElsewhere(runner, blocks);
      const recomputed = Math.min(
        cachedElsewhere - cachedTokens,
        computedTokens,
      );
      work.recomputed += Math.max(0, recomputed);
    }
    replay.store(runner, blocks);
  }
  return work;
}
