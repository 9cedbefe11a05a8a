import {
  ShedReason,
  type Decision,
  type Trace,
  type TraceEntry,
  type CandidateUpstream,
} from '../telemetry/index.js';

/** Upstreams named in one sentence at most. */
const WEIGHED_LIMIT = 5;

/** Tells in plain sentences what was done with a request, and when. */
export function explain(trace: Trace): string[] {
  const start = trace.entries[0]?.at ?? 0;
  const sentences = trace.entries.map(entry => sentenceAt(entry, start));
  if (trace.dropped === 0) return sentences;
  const note = `${trace.dropped} decisions in between were not kept.`;
  return [...sentences.slice(0, -1), note, ...sentences.slice(-1)];
}

function sentenceAt({at, decision}: TraceEntry, start: number): string {
  const when =
    at === start
      ? new Date(at).toISOString()
      : `after ${Math.round(at - start)} ms`;
  return `${when}: ${sentence(decision)}`;
}

function sentence(decision: Decision): string {
  switch (decision.type) {
    case 'arrived':
      return (
        `It arrived from workspace "${decision.workspace}" in class ` +
        `"${decision.class}" of tier ${decision.tier}.`
      );
    case 'queued':
      return (
        `It was queued behind ${decision.ahead} of ` +
        `${decision.depth} waiting requests.`
      );
    case 'shed':
      return `It was shed and not run, because ${shedPhrase(decision.reason)}${favourPhrase(decision.inFavourOf)}.`;
    case 'placed':
      return placedSentence(decision);
    case 'claimed':
      return (
        `Its idempotency key was claimed on the log at offset ` +
        `${decision.offset}, which took ${ms(decision.waitedMs)}.`
      );
    case 'claimLost':
      return `Its idempotency key was already claimed by "${decision.holder}".`;
    case 'attempted':
      return (
        `The attempt on upstream "${decision.upstream}" ended after ` +
        `${ms(decision.ms)}: ${decision.result}.`
      );
    case 'retried':
      return (
        `It was to be tried again after ${ms(decision.delayMs)}, ` +
        `because of: ${decision.reason}.`
      );
    case 'resumed':
      return (
        `Its answer was resumed on upstream "${decision.upstream}" from ` +
        `token ${decision.offset}.`
      );
    case 'preempted':
      return (
        `It was preempted on upstream "${decision.upstream}" in favour of ` +
        `${decision.inFavourOf}.`
      );
    case 'ended':
      return (
        `It ended as ${outcomePhrase(decision.outcome)} after ` +
        `${ms(decision.ms)}${failurePhrase(decision.failure)}.`
      );
  }
}

function placedSentence(decision: Extract<Decision, {type: 'placed'}>): string {
  const {upstream, waitedMs, weighed, crossesLink} = decision;
  const link =
    crossesLink === undefined ? '' : `, over the paid link ${crossesLink}`;
  const sentence = `It was placed on upstream "${upstream}" after a wait of ${ms(waitedMs)}${link}.`;
  if (weighed.length === 0) return sentence;
  const shown = weighed.slice(0, WEIGHED_LIMIT).map(weighedPhrase).join('; ');
  const rest = weighed.length - WEIGHED_LIMIT;
  const more = rest > 0 ? `; and ${rest} more` : '';
  return `${sentence} Weighed were ${shown}${more}.`;
}

function weighedPhrase(item: CandidateUpstream): string {
  return (
    `"${item.name}" in ${item.zone} (first token expected in ` +
    `${ms(item.expectedMs)}, ${item.cachedTokens} prompt tokens cached, ` +
    `${item.inflight} running)`
  );
}

function shedPhrase(reason: ShedReason): string {
  switch (reason) {
    case ShedReason.QueueFull:
      return 'the queue of its class was full';
    case ShedReason.TargetUnreachable:
      return 'its target could no longer be met';
    case ShedReason.ClassLimit:
      return 'the limit of its class was reached';
    case ShedReason.WorkspaceLimit:
      return 'the limit of its workspace was reached';
    case ShedReason.NoUpstream:
      return 'no upstream took work';
    case ShedReason.Deadline:
      return 'its deadline passed while it waited';
    case ShedReason.Draining:
      return 'the instance was shutting down';
  }
}

function favourPhrase(inFavourOf: string | undefined): string {
  return inFavourOf === undefined ? '' : `, in favour of ${inFavourOf}`;
}

function failurePhrase(failure: string | undefined): string {
  return failure === undefined ? '' : `, because of: ${failure}`;
}

function outcomePhrase(outcome: string): string {
  switch (outcome) {
    case 'completed':
      return 'completed (the caller got the whole answer)';
    case 'not_run':
      return 'not run (it did not run and never will)';
    case 'failed':
      return 'failed (it ran, or may have run in part)';
    case 'unknown':
      return 'unknown (whether it ran cannot be told)';
    default:
      return outcome;
  }
}

function ms(value: number): string {
  return `${value < 10 ? value.toFixed(1) : Math.round(value)} ms`;
}
