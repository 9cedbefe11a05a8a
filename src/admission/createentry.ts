import {latestStartAt, type ExpectedDuration} from '../estimation/index.js';
import type {
  Demand,
  PlacementHistory,
  ParsedRequest,
} from '../request/index.js';
import {demandKey, prefixBlocks, countPromptTokens} from '../upstream/index.js';
import type {QueueEntry} from './queueentry.js';
import type {DispatcherDependencies} from './scheduler.js';

/** Prompt blocks considered for prefix locality at most. */
const BLOCKS_LIMIT = 128;
/** Duration expected of a call to a plain service at most, in ms. */
const SERVICE_CALL_LIMIT_MS = 20;

/** Describes a request that is about to wait, with its expected times. */
export function createQueueEntry(
  parts: DispatcherDependencies,
  work: ParsedRequest,
  history: PlacementHistory,
  signal: AbortSignal,
  settle: QueueEntry['settle'],
): QueueEntry {
  const answerTokens = parts.answerLengths.expectedRemaining(work);
  const prompt = promptOf(work.demand);
  const expected = expectedDuration(parts, work, prompt.tokens, answerTokens);
  const latest = latestStartAt(work, expected, parts.timer);
  return {
    work,
    history,
    signal,
    demandKey: demandKey(work.demand),
    costTokens: prompt.tokens + answerTokens,
    promptTokens: prompt.tokens,
    blocks: prompt.blocks,
    queuedAt: parts.timer.now(),
    latestStartAt: latest,
    latestUsefulStartAt: work.deadlineAt - expected.firstTokenMs,
    priorityRestoredAt:
      (Math.max(latest, work.arrivedAt) + work.deadlineAt) / 2,
    late: false,
    settle,
  };
}

/** Durations on the fastest upstream of the region, without any wait. */
function expectedDuration(
  {vicinities}: DispatcherDependencies,
  {demand}: ParsedRequest,
  promptLength: number,
  answerTokens: number,
): ExpectedDuration {
  let firstTokenMs = Infinity;
  let stepMs = Infinity;
  for (const {observed: condition} of vicinities.forDemand(demand)?.inRegion ??
    []) {
    const {latency: speed} = condition;
    firstTokenMs = Math.min(
      firstTokenMs,
      speed.unloadedFirstTokenMs(promptLength),
    );
    stepMs = Math.min(stepMs, speed.interTokenMs);
  }
  if (demand.type === 'service' || stepMs === Infinity) {
    const callMs = Math.min(stepMs, SERVICE_CALL_LIMIT_MS);
    return {firstTokenMs: callMs, completionMs: callMs};
  }
  return {firstTokenMs, completionMs: firstTokenMs + answerTokens * stepMs};
}

function promptOf(demand: Demand) {
  if (demand.type === 'service') return {tokens: 1, blocks: []};
  const {model, adapter, prompt} = demand;
  const name = adapter === undefined ? model : `${model}:${adapter}`;
  return {
    tokens: countPromptTokens(prompt),
    blocks: prefixBlocks(name, prompt, BLOCKS_LIMIT),
  };
}
