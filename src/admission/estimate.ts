import {latestStartAt, type ExpectedDuration} from '../contract/index.js';
import type {
  Demand,
  PlacementHistory,
  ParsedRequest,
} from '../request/index.js';
import {demandKey, prefixBlocks, promptTokens} from '../upstream/index.js';
import type {Entry} from './entry.js';
import type {AdmissionParts} from './scheduler.js';

/** Prompt blocks considered for prefix locality at most. */
const BLOCKS_LIMIT = 128;
/** Duration expected of a call to a plain service at most, in ms. */
const SERVICE_CALL_LIMIT_MS = 20;

/** Describes a request that is about to wait, with its expected times. */
export function newEntry(
  parts: AdmissionParts,
  work: ParsedRequest,
  history: PlacementHistory,
  signal: AbortSignal,
  settle: Entry['settle'],
): Entry {
  const answerTokens = parts.lengths.remaining(work);
  const prompt = promptOf(work.demand);
  const expected = expectedDuration(parts, work, prompt.tokens, answerTokens);
  const latest = latestStartAt(work, expected, parts.timer);
  return {
    work,
    history,
    signal,
    lane: demandKey(work.demand),
    cost: prompt.tokens + answerTokens,
    promptTokens: prompt.tokens,
    blocks: prompt.blocks,
    queuedAt: parts.timer.now(),
    latestStartAt: latest,
    hopelessAt: work.deadlineAt - expected.firstTokenMs,
    urgentAt: (Math.max(latest, work.arrivedAt) + work.deadlineAt) / 2,
    late: false,
    settle,
  };
}

/** Durations on the fastest upstream of the region, without any wait. */
function expectedDuration(
  {vicinities}: AdmissionParts,
  {demand}: ParsedRequest,
  promptLength: number,
  answerTokens: number,
): ExpectedDuration {
  let firstTokenMs = Infinity;
  let stepMs = Infinity;
  for (const {condition} of vicinities.of(demand)?.home ?? []) {
    const {speed} = condition;
    firstTokenMs = Math.min(firstTokenMs, speed.unloadedMs(promptLength));
    stepMs = Math.min(stepMs, speed.stepMs);
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
    tokens: promptTokens(prompt),
    blocks: prefixBlocks(name, prompt, BLOCKS_LIMIT),
  };
}
