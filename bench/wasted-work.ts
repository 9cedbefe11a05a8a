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
import type {Served} from './open-loop-load.js';

/** Work that engines did, in tokens computed or generated. */
export interface EngineWork {
  total: number;
  /** Of requests that no caller got a whole answer to. */
  undelivered: number;
  /** Prefill computed again although another live runner held it. */
  recomputed: number;
  promptTokens: number;
  cachedTokens: number;
}

/** One runner's journal. */
export interface RunnerJournal {
  executions: readonly EngineExecution[];
  behaviour: EngineBehaviour;
}

/** Length of a request's id; ids of further attempts extend it. */
const ID_LENGTH = 36;

type Body = PromptBody & {model: string};

/** A replay of what each runner's cache held, in the order of executions. */
class CacheReplay {
  private readonly caches: PrefixCache[];

  constructor(journals: readonly RunnerJournal[]) {
    this.caches = journals.map(
      ({behaviour}) => new PrefixCache(behaviour, new CacheEvents(behaviour)),
    );
  }

  /** Leading tokens of a prompt that runners other than `own` hold. */
  heldElsewhere(own: number, blocks: readonly string[]): number {
    let most = 0;
    this.caches.forEach((cache, index) => {
      if (index === own) return;
      let count = 0;
      while (count < blocks.length && cache.has(blocks[count] ?? '')) count++;
      most = Math.max(most, count);
    });
    return most * TOKENS_PER_BLOCK;
  }

  store(own: number, blocks: readonly string[]): void {
    this.caches[own]?.match(blocks);
    this.caches[own]?.store(blocks);
  }
}

/** Adds up the work of all runners, and what of it was wasted. */
export function engineWork(
  journals: readonly RunnerJournal[],
  served: readonly Served[],
): EngineWork {
  const bodies = new Map<string, Body>();
  const whole = new Set<string>();
  for (const {arrival, reply} of served) {
    if (reply === undefined) continue;
    bodies.set(reply.id, arrival.body as Body);
    if (reply.outcome === 'completed' && reply.ended) whole.add(reply.id);
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
    .flatMap(({executions}, own) =>
      executions.map(execution => ({execution, own})),
    )
    .sort((a, b) => a.execution.startedAt - b.execution.startedAt);
  for (const {execution, own} of ordered) {
    const id = execution.id.slice(0, ID_LENGTH);
    const {computedTokens, tokens, cachedTokens, promptTokens} = execution;
    work.total += computedTokens + tokens;
    work.promptTokens += promptTokens;
    work.cachedTokens += cachedTokens;
    const body = bodies.get(id);
    const blocks =
      body === undefined ? [] : prefixBlocks(body.model, promptText(body));
    if (execution.cancelled || !whole.delete(id)) {
      work.undelivered += computedTokens + tokens;
    } else {
      const held = replay.heldElsewhere(own, blocks);
      const again = Math.min(held - cachedTokens, computedTokens);
      work.recomputed += Math.max(0, again);
    }
    replay.store(own, blocks);
  }
  return work;
}
