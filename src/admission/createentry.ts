import {latestStartAt, type ExpectedDuration} from '../estimation/index.js';
import type {
  Demand,
  PlacementHistory,
  ParsedRequest,
} from '../request/index.js';
import {demandKey, prefixBlocks, countPromptTokens} from '../upstream/index.js';
import type {QueueEntry} from './queueentry.js';
import type {DispatcherDependencies} from './scheduler.js';

/** Bounds the prompt blocks that are hashed for prefix cache lookups. */
const MAX_PREFIX_BLOCKS = 128;
/** Upper bound of the expected duration of a plain service call, in ms. */
const MAX_EXPECTED_CALL_MS = 20;

/** Creates the queue entry of a request, with its expected cost and times. */
export function createQueueEntry(
  deps: DispatcherDependencies,
  work: ParsedRequest,
  history: PlacementHistory,
  signal: AbortSignal,
  settle: QueueEntry['settle'],
): QueueEntry {
  const answerTokens = deps.answerLengths.expectedRemaining(work);
  const prompt = promptOf(work.demand);
  const expected = unloadedDuration(deps, work, prompt.tokens, answerTokens);
  const latestStart = latestStartAt(work, expected, deps.timer);
  return {
    work,
    history,
    signal,
    demandKey: demandKey(work.demand),
    costTokens: prompt.tokens + answerTokens,
    promptTokens: prompt.tokens,
    blocks: prompt.blocks,
    queuedAt: deps.timer.now(),
    latestStartAt: latestStart,
    latestUsefulStartAt: work.deadlineAt - expected.firstTokenMs,
    priorityRestoredAt:
      (Math.max(latestStart, work.arrivedAt) + work.deadlineAt) / 2,
    late: false,
    settle,
  };
}

/**
 * Expected durations on an idle upstream, from the best first token and
 * decoding step times of the upstreams in this region.
 */
function unloadedDuration(
  {vicinities}: DispatcherDependencies,
  {demand}: ParsedRequest,
  promptTokenCount: number,
  answerTokens: number,
): ExpectedDuration {
  let firstTokenMs = Infinity;
  let stepMs = Infinity;
  for (const {observed: condition} of vicinities.forDemand(demand)?.inRegion ??
    []) {
    const {latency: speed} = condition;
    firstTokenMs = Math.min(
      firstTokenMs,
      speed.unloadedFirstTokenMs(promptTokenCount),
    );
    stepMs = Math.min(stepMs, speed.interTokenMs);
  }
  if (demand.type === 'service' || stepMs === Infinity) {
    const callMs = Math.min(stepMs, MAX_EXPECTED_CALL_MS);
    return {firstTokenMs: callMs, completionMs: callMs};
  }
  return {firstTokenMs, completionMs: firstTokenMs + answerTokens * stepMs};
}

/** Length in tokens and block hashes of a prompt; a service call costs 1. */
function promptOf(demand: Demand) {
  if (demand.type === 'service') return {tokens: 1, blocks: []};
  const {model, adapter, prompt} = demand;
  const name = adapter === undefined ? model : `${model}:${adapter}`;
  return {
    tokens: countPromptTokens(prompt),
    blocks: prefixBlocks(name, prompt, MAX_PREFIX_BLOCKS),
  };
}
