import {createHash} from 'node:crypto';
import {err, ok, type Result} from 'neverthrow';
import {checkDocument, type InvalidDocument, type Problem} from './check.js';
import {applyChanges, diff, type Change} from './delta.js';
import type {Configuration} from './document.js';
import type {Submission} from './record.js';

/** Accepted submissions that are kept with their changes. */
const MAX_KEPT_REVISIONS = 64;

/** An accepted configuration and its version. */
export interface AcceptedConfiguration {
  /** Offset of the accepted submission in the log, plus one. */
  version: number;
  document: Configuration;
}

/** The outcome of a submission. */
export type Verdict =
  | {type: 'accepted'; id: string; version: number}
  | {type: 'conflict'; id: string; base: number; current: number}
  | {type: 'invalid'; id: string; problems: Problem[]};

/** An accepted submission, as shown to operators after a conflict. */
export interface Revision {
  /** Version that the changes were based on. */
  base: number;
  /** Version that the submission produced. */
  version: number;
  author?: string;
  changes: Change[];
}

/**
 * Applies submissions in offset order. The verdict depends only on the
 * submission and on the current version and document, so two state machines
 * that agree on one version agree on every later one, wherever they started. A
 * submission that was appended twice is accepted once: the second one's base
 * is no longer the current version.
 */
export class ConfigurationStateMachine {
  private accepted?: AcceptedConfiguration;
  private revisions: Revision[] = [];

  /** The newest accepted configuration, or undefined before the first. */
  current(): AcceptedConfiguration | undefined {
    return this.accepted;
  }

  /** Version of the newest accepted configuration; 0 before the first. */
  get version(): number {
    return this.accepted?.version ?? 0;
  }

  /**
   * Installs an accepted configuration from a checkpoint or a peer. Returns
   * false, and changes nothing, if it isn't newer than the current one.
   */
  install(configuration: AcceptedConfiguration): boolean {
    if (configuration.version <= this.version) return false;
    this.accepted = configuration;
    this.revisions = [];
    return true;
  }

  /** Applies the submission at `offset` and returns its verdict. */
  submit(offset: number, submission: Submission): Verdict {
    const {id, base} = submission;
    const current = this.version;
    if (base !== current) return {type: 'conflict', id, base, current};
    const checked = this.buildDocument(submission);
    if (checked.isErr()) {
      return {type: 'invalid', id, problems: checked.error.problems};
    }
    const version = offset + 1;
    this.recordRevision(submission, version, checked.value);
    this.accepted = {version, document: checked.value};
    return {type: 'accepted', id, version};
  }

  /**
   * The submissions accepted after a version, oldest first, or undefined when
   * they are no longer kept.
   */
  revisionsSince(version: number): Revision[] | undefined {
    if (version === this.version) return [];
    const start = this.revisions.findIndex(({base}) => base === version);
    return start === -1 ? undefined : this.revisions.slice(start);
  }

  private buildDocument(
    submission: Submission,
  ): Result<Configuration, InvalidDocument> {
    switch (submission.type) {
      case 'submission':
        return checkDocument(submission.document);
      case 'delta':
        return applyChanges(this.accepted?.document ?? {}, submission.changes)
          .mapErr(({path}) => unknownPath(path))
          .andThen(document => checkDocument(document));
    }
  }

  private recordRevision(
    submission: Submission,
    version: number,
    document: Configuration,
  ): void {
    const {base, author} = submission;
    const changes =
      submission.type === 'delta'
        ? submission.changes
        : diff(this.accepted?.document ?? {}, document);
    this.revisions.push({
      base,
      version,
      changes,
      ...(author === undefined ? {} : {author}),
    });
    if (this.revisions.length > MAX_KEPT_REVISIONS) this.revisions.shift();
  }
}

function unknownPath(path: string[]): InvalidDocument {
  const problem = {path: path.join('.'), reason: 'there is no such value'};
  return {type: 'invalidDocument', problems: [problem]};
}

/** Validates the document of a checkpoint or a peer. */
export function checkAcceptedDocument(
  version: number,
  document: unknown,
): Result<AcceptedConfiguration, InvalidDocument> {
  const checked = checkDocument(document);
  if (checked.isErr()) return err(checked.error);
  return ok({version, document: checked.value});
}

/** SHA-256 of a workspace key in hex, as stored in the configuration. */
export function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}
