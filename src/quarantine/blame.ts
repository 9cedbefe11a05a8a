import {
  Candidate,
  isFirstPart,
  PROVEN_SUSPICION_CRASHES,
  type SuspectPart,
} from './candidate.js';
import type {Crash} from './crashlog.js';

/** Crashes that convict a part which was never answered. */
const NEW_PART_CRASHES = 3;

/** How many of these must have come one after another. */
const NEW_PART_SEQUENCE = 2;

/**
 * Answers that this instance must have seen from the first of these crashes to
 * the last: if all upstreams end, requests go from one to the next.
 */
const NEW_PART_ANSWERS = 3;

/** Crashes that convict such a part without these answers. */
const NEW_PART_CRASHES_UNANSWERED = 4;

/**
 * Weight that its requests must have: each counts as 1 divided by the number of
 * suspects of its crash, since one among many is there by chance, and once, as
 * a repeat is no independent sign.
 */
const NEW_PART_WEIGHT = 1.25;

/** Share of the crashes in its time that such a part must explain. */
const NEW_PART_SHARE = 1 / 2;

/** Crashes that convict such a part whatever their weight and share. */
const NEW_PART_CRASHES_AMONG_OTHERS = 5;

/** Crashes of a part on one upstream alone that convict it. */
const ONE_UPSTREAM_CRASHES = 5;

/** The same for a part that was answered before, or a first part. */
const OTHER_ONE_UPSTREAM_CRASHES = 10;

/** Crashes that convict a first part which was never answered. */
const FIRST_PART_CRASHES = 4;

/** Crashes that convict a part which was answered before. */
const PROVEN_PART_CRASHES = 5;

/** How many of these must have come one after another, for either. */
const OTHER_PART_SEQUENCE = 3;

/** Weight that the requests of a new first part must have. */
const FIRST_PART_WEIGHT = 1.5;

/** Weight that the requests of a part answered before must have. */
const PROVEN_PART_WEIGHT = 2;

/** Share of the crashes in its time that either must explain. */
const OTHER_PART_SHARE = 2 / 3;

/** Crashes one after another that convict whatever their weight and share. */
const OTHER_PART_SEQUENCE_AMONG_OTHERS = 8;

/**
 * Answers to requests without such a part that this instance must have seen
 * since the first of these crashes.
 */
const OTHER_PART_ANSWERS = 10;

/** Crashes that convict a new first part without these answers. */
const FIRST_PART_CRASHES_UNANSWERED = 6;

/** Crashes that convict a part answered before without these answers. */
const PROVEN_PART_CRASHES_UNANSWERED = 10;

/**
 * The same for a first part that was answered before. Most requests have such a
 * part, and none is answered while all upstreams are down.
 */
const PROVEN_FIRST_PART_CRASHES_UNANSWERED = 64;

/** Different requests that must have ended in crashes with a part. */
const MIN_REQUESTS = 2;

/** Crashes with which a part that was never answered is under suspicion. */
const SUSPICION_CRASHES = 2;

/**
 * Crashes of a part whose requests were forwarded one at a time that replace
 * answers to others as evidence.
 */
const RATIONED_CRASHES_UNANSWERED = 1;

/** The same that replace its weight and share. */
const RATIONED_CRASHES_AMONG_OTHERS = 2;

/** What is known of parts, beside the crashes. */
export interface PartKnowledge {
  /** Time of the last answer, in monotonic ms. */
  answeredAt(part: string): number | undefined;
  /** Time up to which crashes don't count, in monotonic ms. */
  releasedAt(part: string): number | undefined;
  isHeld(part: string): boolean;
  /** Number of upstreams that requests go to. */
  upstreamCount(): number;
}

/** Parts to hold, and parts whose requests aren't to be repeated. */
export interface Blame {
  convicted: SuspectPart[];
  suspected: SuspectPart[];
  /**
   * Parts that were answered before and crashed upstreams since, whichever part
   * explains the crashes, with the time of their last crash in monotonic ms.
   */
  rationed: ReadonlyMap<string, number>;
}

function collect(
  crashes: readonly Crash[],
  knowledge: PartKnowledge,
  explained: ReadonlySet<Crash>,
): Candidate[] {
  const candidates = new Map<string, Candidate>();
  for (const crash of crashes) {
    for (const request of crash.requests) {
      for (const [position, part] of request.parts.entries()) {
        if (knowledge.isHeld(part)) continue;
        const answeredAt = knowledge.answeredAt(part);
        if (crash.at <= (answeredAt ?? -Infinity)) continue;
        if (crash.at <= (knowledge.releasedAt(part) ?? -Infinity)) continue;
        const isProven = answeredAt !== undefined;
        // Crashes that others explain say nothing of a part that was answered.
        const needsMore = isProven || isFirstPart(part, position);
        if (needsMore && explained.has(crash)) continue;
        let candidate = candidates.get(part);
        if (candidate === undefined) {
          candidate = new Candidate(part, isProven);
          candidates.set(part, candidate);
        }
        candidate.add(crash, request, position);
      }
    }
  }
  return [...candidates.values()];
}

function isNewPartConvicted(
  candidate: Candidate,
  share: () => number,
): boolean {
  const {crashes} = candidate;
  const {length} = crashes;
  const answers = (crashes.at(-1)?.answers ?? 0) - (crashes[0]?.answers ?? 0);
  const least =
    answers >= NEW_PART_ANSWERS
      ? NEW_PART_CRASHES
      : NEW_PART_CRASHES_UNANSWERED;
  return (
    length >= least &&
    candidate.sequence >= NEW_PART_SEQUENCE &&
    candidate.requests.size >= MIN_REQUESTS &&
    (candidate.upstreams.size > 1 || length >= ONE_UPSTREAM_CRASHES) &&
    ((candidate.weight >= NEW_PART_WEIGHT && share() >= NEW_PART_SHARE) ||
      length >= NEW_PART_CRASHES_AMONG_OTHERS)
  );
}

function leastUnanswered({isFirst, isProven}: Candidate): number {
  if (!isProven) return FIRST_PART_CRASHES_UNANSWERED;
  return isFirst
    ? PROVEN_FIRST_PART_CRASHES_UNANSWERED
    : PROVEN_PART_CRASHES_UNANSWERED;
}

/**
 * Answers to others since the first crash of a part, of `answers` in all. One that
 * is rationed is hardly sent, so those after its last crash say nothing of it.
 */
function answersToOthers(
  {crashes}: Candidate,
  isRationed: boolean,
  answers: number,
): number {
  const until = isRationed ? (crashes.at(-1)?.answers ?? answers) : answers;
  return until - (crashes[0]?.answers ?? until);
}

function isOtherPartConvicted(
  candidate: Candidate,
  isRationed: boolean,
  share: () => number,
  answers: number,
): boolean {
  const {isProven, crashes, requests, sequence, upstreams} = candidate;
  const {length} = crashes;
  const least = isProven ? PROVEN_PART_CRASHES : FIRST_PART_CRASHES;
  const leastWeight = isProven ? PROVEN_PART_WEIGHT : FIRST_PART_WEIGHT;
  const rationedCrashes = isRationed ? candidate.rationedCrashes : 0;
  return (
    length >= least &&
    sequence >= OTHER_PART_SEQUENCE &&
    requests.size >= MIN_REQUESTS &&
    (upstreams.size > 1 || length >= OTHER_ONE_UPSTREAM_CRASHES) &&
    ((candidate.weight >= leastWeight && share() >= OTHER_PART_SHARE) ||
      sequence >= OTHER_PART_SEQUENCE_AMONG_OTHERS ||
      rationedCrashes >= RATIONED_CRASHES_AMONG_OTHERS) &&
    (answersToOthers(candidate, isRationed, answers) >= OTHER_PART_ANSWERS ||
      rationedCrashes >= RATIONED_CRASHES_UNANSWERED ||
      length >= leastUnanswered(candidate))
  );
}

function suspicionCrashes({isFirst, isProven}: Candidate): number {
  return isFirst && isProven ? PROVEN_PART_CRASHES : PROVEN_SUSPICION_CRASHES;
}

function haveSame(a: readonly Crash[], b: readonly Crash[]): boolean {
  return a.length === b.length && a.every((crash, index) => crash === b[index]);
}

/**
 * Orders parts with the same crashes, whichever was heard of first: positive if
 * `a` comes later in prompts, of those at one position if its id is smaller.
 */
function compareParts(a: Candidate, b: Candidate): number {
  return a.position - b.position || Number(a.part < b.part) || -1;
}

/**
 * Takes the part that explains most crashes, of equals the one with most in all,
 * then the one later in prompts, and those that can't be told from it; then the
 * next, until none is left.
 */
function convictNewParts(
  candidates: readonly Candidate[],
  explained: Set<Crash>,
): SuspectPart[] {
  const convicted: SuspectPart[] = [];
  for (;;) {
    let best: Candidate | undefined;
    let unexplained: Crash[] = [];
    for (const candidate of candidates) {
      const own = candidate.unexplained(explained);
      const difference =
        own.length - unexplained.length ||
        candidate.crashes.length - (best?.crashes.length ?? 0) ||
        compareParts(candidate, best ?? candidate);
      if (own.length === 0 || difference <= 0) continue;
      best = candidate;
      unexplained = own;
    }
    if (best === undefined) return convicted;
    for (const candidate of candidates) {
      if (!haveSame(candidate.crashes, best.crashes)) continue;
      convicted.push(candidate.summary(candidate.crashes.length));
    }
    for (const crash of unexplained) explained.add(crash);
  }
}

/** The part with most crashes; of equals, the one later in prompts. */
function strongest(candidates: readonly Candidate[]): Candidate | undefined {
  let best: Candidate | undefined;
  for (const candidate of candidates) {
    const difference =
      best === undefined
        ? 1
        : candidate.crashes.length - best.crashes.length ||
          Number(best.isFirst) - Number(candidate.isFirst) ||
          compareParts(candidate, best);
    if (difference > 0) best = candidate;
  }
  return best;
}

/**
 * Finds the parts that explain crashes. A part which was never answered is
 * convicted by fewer crashes than others, and a crash that it may explain
 * doesn't count against others.
 *
 * @param crashes The earliest first.
 * @param answers Number of answers that this instance recorded so far.
 */
export function blame(
  crashes: readonly Crash[],
  knowledge: PartKnowledge,
  answers: number,
): Blame {
  const explained = new Set<Crash>();
  for (const crash of crashes) {
    const isExplained = crash.requests.some(({parts}) =>
      parts.some(part => knowledge.isHeld(part)),
    );
    if (isExplained) explained.add(crash);
  }
  const candidates = collect(crashes, knowledge, explained);
  const fresh = candidates.filter(candidate => !candidate.needsMore);
  const convicted = convictNewParts(
    fresh.filter(candidate =>
      isNewPartConvicted(candidate, () => candidate.share(crashes, explained)),
    ),
    explained,
  );
  const suspected: SuspectPart[] = [];
  for (const candidate of fresh) {
    const {length} = candidate.unexplained(explained);
    if (length === 0 || candidate.crashes.length < SUSPICION_CRASHES) continue;
    suspected.push(candidate.summary(candidate.crashes.length));
  }
  const covered = new Set(explained);
  for (const candidate of fresh) {
    if (candidate.crashes.length < NEW_PART_CRASHES) continue;
    for (const crash of candidate.crashes) covered.add(crash);
  }
  let others = candidates.filter(candidate => candidate.needsMore);
  const upstreamCount = knowledge.upstreamCount();
  const rationed = new Map<string, number>();
  for (const candidate of others) {
    if (!candidate.isRationed(upstreamCount)) continue;
    const {part, crashes} = candidate;
    rationed.set(part, crashes.at(-1)?.at ?? -Infinity);
  }
  for (;;) {
    others = others
      .map(candidate => candidate.without(covered))
      .filter(({crashes}) => crashes.length >= PROVEN_SUSPICION_CRASHES);
    const best = strongest(others);
    if (best === undefined) return {convicted, suspected, rationed};
    const count = best.crashes.length;
    const share = () => best.share(crashes, explained);
    const isRationed = best.isRationed(upstreamCount);
    if (isOtherPartConvicted(best, isRationed, share, answers)) {
      convicted.push(best.summary(count));
      for (const crash of best.crashes) explained.add(crash);
    } else if (count >= suspicionCrashes(best)) {
      suspected.push(best.summary(count));
    }
    for (const crash of best.crashes) covered.add(crash);
  }
}
