import {createHash} from 'node:crypto';
import {err, ok, type Result} from 'neverthrow';
import {checkDocument, type InvalidDocument, type Problem} from './check.js';
import {applyChanges, diff, type Change} from './delta.js';
import type {Configuration} from './document.js';
import type {Submission} from './record.js';

/** Accepted submissions whose steps are kept. */
const HISTORY_LIMIT = 64;

/** A configuration in force, under the version the log's order gave it. */
export interface AcceptedConfiguration {
  /** Offset of the accepted submission plus one; versions only grow. */
  version: number;
  document: Configuration;
}

/** What the log's order made of one submission. */
export type Verdict =
  | {type: 'accepted'; id: string; version: number}
  | {type: 'conflict'; id: string; base: number; current: number}
  | {type: 'invalid'; id: string; problems: Problem[]};

/** An accepted submission, as told to operators in a conflict. */
export interface Revision {
  base: number;
  version: number;
  author?: string;
  changes: Change[];
}

/**
 * Applies submissions in offset order. Acceptance depends on the submission
 * and the document in force alone, so two ledgers that agree on one version
 * agree on every later one, wherever they started. A submission that stands in
 * the log twice is accepted once, as its base is over by then.
 */
export class ConfigurationStateMachine {
  private accepted?: AcceptedConfiguration;
  private history: Revision[] = [];

  /** The newest accepted configuration, or undefined before the first. */
  current(): AcceptedConfiguration | undefined {
    return this.accepted;
  }

  /** Version of the newest accepted configuration; 0 before the first. */
  get version(): number {
    return this.accepted?.version ?? 0;
  }

  /** Installs a configuration that a checkpoint or a peer proves accepted. */
  install(configuration: AcceptedConfiguration): boolean {
    if (configuration.version <= this.version) return false;
    this.accepted = configuration;
    this.history = [];
    return true;
  }

  /** Applies one submission found at `offset`. */
  submit(offset: number, submission: Submission): Verdict {
    const {id, base} = submission;
    const current = this.version;
    if (base !== current) return {type: 'conflict', id, base, current};
    const checked = this.documentOf(submission);
    if (checked.isErr()) {
      return {type: 'invalid', id, problems: checked.error.problems};
    }
    const version = offset + 1;
    this.remember(submission, version, checked.value);
    this.accepted = {version, document: checked.value};
    return {type: 'accepted', id, version};
  }

  /**
   * The accepted submissions since a version, oldest first, or undefined when
   * they are no longer known one by one.
   */
  revisionsSince(version: number): Revision[] | undefined {
    if (version === this.version) return [];
    const start = this.history.findIndex(({base}) => base === version);
    return start === -1 ? undefined : this.history.slice(start);
  }

  private documentOf(
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

  private remember(
    submission: Submission,
    version: number,
    document: Configuration,
  ): void {
    const {base, author} = submission;
    const changes =
      submission.type === 'delta'
        ? submission.changes
        : diff(this.accepted?.document ?? {}, document);
    this.history.push({
      base,
      version,
      changes,
      ...(author === undefined ? {} : {author}),
    });
    if (this.history.length > HISTORY_LIMIT) this.history.shift();
  }
}

function unknownPath(path: string[]): InvalidDocument {
  const problem = {path: path.join('.'), reason: 'there is no such value'};
  return {type: 'invalidDocument', problems: [problem]};
}

/** Validates a document that a checkpoint or a peer holds for accepted. */
export function checkAcceptedDocument(
  version: number,
  document: unknown,
): Result<AcceptedConfiguration, InvalidDocument> {
  const checked = checkDocument(document);
  if (checked.isErr()) return err(checked.error);
  return ok({version, document: checked.value});
}

/** SHA-256 of a workspace key, as the configuration stores it. */
export function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}
