import {err, ok, type Result} from 'neverthrow';
import {v7 as uuidv7} from 'uuid';
import type {Log} from '../platform/index.js';
import type {Timer} from '../timer/index.js';
import {checkDocument, type Problem} from './check.js';
import {diff} from './delta.js';
import type {Configuration} from './document.js';
import type {ConfigurationFollower} from './follower.js';
import type {Revision, Verdict} from './statemachine.js';
import {CONFIGURATION_STREAM, type Submission} from './record.js';

const VERDICT_TIMEOUT_MS = 10_000;
const VERDICT_POLL_MS = 20;
/** Longest time an append may take effect after its answer was lost, in ms. */
const MAX_APPEND_DELAY_MS = 2_500;
const RETRY_DELAY_MS = 250;

/** A document to publish. */
export interface Draft {
  /** Version that the document was edited from; 0 when there is none yet. */
  base: number;
  document: unknown;
  author?: string;
}

/** The accepted submission of a draft. */
export interface Publication {
  type: 'accepted';
  id: string;
  version: number;
}

/** Why a draft was not accepted, or is not known to be. */
export type PublishFailure =
  /** Another submission was accepted after the draft's base version. */
  | {
      type: 'conflict';
      id: string;
      base: number;
      current: number;
      /** Revisions after the base; undefined when they are no longer kept. */
      changed?: Revision[];
    }
  | {type: 'invalid'; id: string; problems: Problem[]}
  /** No verdict in time. If `sent`, the draft may still be accepted. */
  | {type: 'verdictTimeout'; id: string; sent: boolean};

/** Dependencies of [[publish]]. The follower must be running. */
export interface PublishParts {
  log: Log;
  follower: ConfigurationFollower;
  timer: Timer;
}

/** Options of [[publish]]. */
export interface PublishOptions {
  /** Id of the submission; a retry under the same id is safe. */
  id?: string;
  /** How long to wait for the verdict, in ms. */
  timeoutMs?: number;
}

/**
 * Appends a draft to the log and waits until the follower has read its verdict.
 * If the answer to the append was lost, the submission is appended again, under
 * the same id, only after the log was read to its end without finding it.
 */
export async function publish(
  draft: Draft,
  parts: PublishParts,
  options: PublishOptions = {},
): Promise<Result<Publication, PublishFailure>> {
  const id = options.id ?? uuidv7();
  const checked = checkDocument(draft.document);
  if (checked.isErr()) {
    return err({type: 'invalid', id, problems: checked.error.problems});
  }
  await parts.follower.readToEnd();
  const currentVersion = parts.follower.current()?.version ?? 0;
  const knownVerdict = parts.follower.verdictOn(id);
  if (knownVerdict !== undefined) return toResult(knownVerdict, parts.follower);
  if (draft.base < currentVersion) {
    const verdict = {
      type: 'conflict',
      id,
      base: draft.base,
      current: currentVersion,
    } as const;
    return toResult(verdict, parts.follower);
  }
  const submission = createSubmission(id, draft, checked.value, parts.follower);
  const deadline =
    parts.timer.now() + (options.timeoutMs ?? VERDICT_TIMEOUT_MS);
  return appendUntilVerdict(submission, parts, deadline);
}

/**
 * Returns a submission of the changes if the draft is based on the current
 * version, and else one of the whole document.
 */
function createSubmission(
  id: string,
  {base, author}: Draft,
  document: Configuration,
  follower: ConfigurationFollower,
): Submission {
  const commonFields = {id, base, ...(author === undefined ? {} : {author})};
  const current = follower.current();
  if (current?.version !== base) {
    return {type: 'submission', document, ...commonFields};
  }
  const changes = diff(current.document, document);
  return {type: 'delta', changes, ...commonFields};
}

async function appendUntilVerdict(
  submission: Submission,
  parts: PublishParts,
  deadline: number,
): Promise<Result<Publication, PublishFailure>> {
  const {log, follower, timer} = parts;
  let sent = false;
  while (timer.now() < deadline) {
    const appended = await log.append(CONFIGURATION_STREAM, submission);
    const refused = appended.isErr() && appended.error.type === 'refused';
    if (refused) {
      await timer.sleep(RETRY_DELAY_MS);
      continue;
    }
    sent = true;
    const appendSettledAt = appended.isOk()
      ? deadline
      : timer.now() + MAX_APPEND_DELAY_MS;
    const verdict = await awaitVerdict(
      submission.id,
      parts,
      appendSettledAt,
      deadline,
    );
    if (verdict !== undefined) return toResult(verdict, follower);
  }
  return err({type: 'verdictTimeout', id: submission.id, sent});
}

/**
 * Waits for a verdict until `deadline`. Gives up earlier if the log was read to
 * its end without finding one after `appendSettledAt`, when an append whose
 * answer was lost can no longer take effect.
 */
async function awaitVerdict(
  id: string,
  {follower, timer}: PublishParts,
  appendSettledAt: number,
  deadline: number,
): Promise<Verdict | undefined> {
  while (timer.now() < deadline) {
    const appendSettled = timer.now() >= appendSettledAt;
    const reachedEnd = await follower.readToEnd();
    const verdict = follower.verdictOn(id);
    if (verdict !== undefined) return verdict;
    if (appendSettled && reachedEnd) return undefined;
    await timer.sleep(VERDICT_POLL_MS);
  }
  return follower.verdictOn(id);
}

function toResult(
  verdict: Verdict,
  follower: ConfigurationFollower,
): Result<Publication, PublishFailure> {
  switch (verdict.type) {
    case 'accepted':
      return ok(verdict);
    case 'invalid':
      return err(verdict);
    case 'conflict': {
      const changed = follower.revisionsSince(verdict.base);
      return err(changed === undefined ? verdict : {...verdict, changed});
    }
  }
}
