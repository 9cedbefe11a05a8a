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
/** How long an append whose answer was lost may still take effect, in ms. */
const APPEND_SETTLE_MS = 2_500;
const RETRY_DELAY_MS = 250;

/** A document an operator wants in force. */
export interface Draft {
  /** Version the document was made from; 0 when there is none yet. */
  base: number;
  document: unknown;
  author?: string;
}

/** A draft that is in force. */
export interface Publication {
  type: 'accepted';
  id: string;
  version: number;
}

/** Why a draft is not in force, or not known to be. */
export type PublishFailure =
  /** Another submission came first. `changed` tells of those since the base. */
  | {
      type: 'conflict';
      id: string;
      base: number;
      current: number;
      /** Undefined when the revisions are no longer known one by one. */
      changed?: Revision[];
    }
  | {type: 'invalid'; id: string; problems: Problem[]}
  /** No verdict in time. When `sent`, it may still come into force. */
  | {type: 'verdictTimeout'; id: string; sent: boolean};

/** What publishing works with. The follower must be running. */
export interface PublishParts {
  log: Log;
  follower: ConfigurationFollower;
  timer: Timer;
}

/** How to publish. */
export interface PublishOptions {
  /** Id of the submission; the same id makes a repetition harmless. */
  id?: string;
  /** How long to wait for the verdict, in ms. */
  timeoutMs?: number;
}

/**
 * Submits a draft to the log and waits for the verdict of the log's order. An
 * append whose answer was lost is looked for in the log, and repeated under
 * the same id only after the log was read to its end without finding it.
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
  const current = parts.follower.current()?.version ?? 0;
  const known = parts.follower.verdictOn(id);
  if (known !== undefined) return resultOf(known, parts.follower);
  if (draft.base < current) {
    const verdict = {type: 'conflict', id, base: draft.base, current} as const;
    return resultOf(verdict, parts.follower);
  }
  const submission = submissionOf(id, draft, checked.value, parts.follower);
  const end = parts.timer.now() + (options.timeoutMs ?? VERDICT_TIMEOUT_MS);
  return submit(submission, parts, end);
}

/** Submits the steps if they are known, and the whole document if not. */
function submissionOf(
  id: string,
  {base, author}: Draft,
  document: Configuration,
  follower: ConfigurationFollower,
): Submission {
  const common = {id, base, ...(author === undefined ? {} : {author})};
  const current = follower.current();
  if (current?.version !== base) {
    return {type: 'submission', document, ...common};
  }
  const changes = diff(current.document, document);
  return {type: 'delta', changes, ...common};
}

async function submit(
  submission: Submission,
  parts: PublishParts,
  end: number,
): Promise<Result<Publication, PublishFailure>> {
  const {log, follower, timer} = parts;
  let sent = false;
  while (timer.now() < end) {
    const appended = await log.append(CONFIGURATION_STREAM, submission);
    const refused = appended.isErr() && appended.error.type === 'refused';
    if (refused) {
      await timer.sleep(RETRY_DELAY_MS);
      continue;
    }
    sent = true;
    const settleAt = appended.isOk() ? end : timer.now() + APPEND_SETTLE_MS;
    const verdict = await awaitVerdict(submission.id, parts, settleAt, end);
    if (verdict !== undefined) return resultOf(verdict, follower);
  }
  return err({type: 'verdictTimeout', id: submission.id, sent});
}

/**
 * Waits for a verdict until `settleAt` and from then on until the log has been
 * read to its end once, but no longer than until `end`.
 */
async function awaitVerdict(
  id: string,
  {follower, timer}: PublishParts,
  settleAt: number,
  end: number,
): Promise<Verdict | undefined> {
  while (timer.now() < end) {
    const settled = timer.now() >= settleAt;
    const reached = await follower.readToEnd();
    const verdict = follower.verdictOn(id);
    if (verdict !== undefined) return verdict;
    if (settled && reached) return undefined;
    await timer.sleep(VERDICT_POLL_MS);
  }
  return follower.verdictOn(id);
}

function resultOf(
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
