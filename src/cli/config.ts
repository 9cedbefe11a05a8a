import {readFileSync} from 'node:fs';
import {
  checkDocument,
  diff,
  type Change,
  type Problem,
  type PublishFailure,
} from '../config/index.js';
import {ExitCode, exitWithError} from './exit.js';
import {awaitRollout} from './rollout.js';
import {LogSession} from './logsession.js';
import {collectSettings} from './settings.js';

const ROLLOUT_TIMEOUT_MS = 10_000;

/** Arguments of `config publish`. */
export interface PublishArguments {
  /** Path of the document. */
  file: string;
  logUrl: string;
  /** Version that the document was edited from; by default the current one. */
  base?: number;
  author?: string;
  /** Id of an earlier submission whose outcome is unknown, to retry it. */
  id?: string;
  /** host:port of an instance that reports the rollout of the version. */
  peer?: string;
}

function readDocument(file: string): unknown {
  try {
    return JSON.parse(readFileSync(file, 'utf8')) as unknown;
  } catch (cause) {
    exitWithError(ExitCode.Usage, `cannot read ${file}: ${String(cause)}`);
  }
}

function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

function printProblems(problems: readonly Problem[]): void {
  for (const {path, reason} of problems) printLine(`${path}: ${reason}`);
}

function printChanges(changes: readonly Change[]): void {
  for (const {path, value} of changes) {
    const dottedPath = path.join('.');
    if (value === undefined) printLine(`- ${dottedPath}`);
    else printLine(`+ ${dottedPath} = ${JSON.stringify(value)}`);
  }
}

async function openLogSession(
  logUrl: string,
  historySince?: number,
): Promise<LogSession> {
  const session = await LogSession.open(logUrl, historySince);
  if (session !== undefined) return session;
  exitWithError(ExitCode.Unavailable, 'the log cannot be read');
}

/** Validates a document and prints every problem in it. */
export function checkFile(file: string): ExitCode {
  const checked = checkDocument(readDocument(file));
  if (checked.isOk()) {
    printLine(`${file} is valid.`);
    return ExitCode.Success;
  }
  printProblems(checked.error.problems);
  return ExitCode.Failure;
}

/** Prints the document in force, and its version on standard error. */
export async function showConfiguration(logUrl: string): Promise<ExitCode> {
  const session = await openLogSession(logUrl);
  const current = session.follower.current();
  await session.close();
  if (current === undefined) {
    exitWithError(ExitCode.Failure, 'there is no configuration yet');
  }
  process.stderr.write(`version ${current.version}\n`);
  printLine(JSON.stringify(current.document, null, 2));
  return ExitCode.Success;
}

/** Prints the changes from the document in force to the one in a file. */
export async function showDifference(
  file: string,
  logUrl: string,
): Promise<ExitCode> {
  const checked = checkDocument(readDocument(file));
  if (checked.isErr()) {
    printProblems(checked.error.problems);
    return ExitCode.Failure;
  }
  const session = await openLogSession(logUrl);
  const current = session.follower.current();
  await session.close();
  printChanges(diff(current?.document ?? {}, checked.value));
  return ExitCode.Success;
}

/** Publishes a document; with `peer`, also prints which instances have it. */
export async function publishFile(
  args: PublishArguments,
  env: NodeJS.ProcessEnv,
): Promise<ExitCode> {
  const document = readDocument(args.file);
  const session = await openLogSession(args.logUrl, args.base);
  const {author, id} = args;
  const base = args.base ?? session.follower.current()?.version ?? 0;
  const draft = {base, document, ...(author === undefined ? {} : {author})};
  const result = await session.publish(draft, id === undefined ? {} : {id});
  await session.close();
  if (result.isErr()) return printFailure(result.error);
  printLine(JSON.stringify(result.value));
  if (args.peer === undefined) return ExitCode.Success;
  return printRollout(result.value.version, args.peer, env);
}

async function printRollout(
  version: number,
  peer: string,
  env: NodeJS.ProcessEnv,
): Promise<ExitCode> {
  const secrets = collectSettings({}, env)['peerSecrets'] as string[];
  const rollout = await awaitRollout(
    version,
    peer,
    secrets,
    ROLLOUT_TIMEOUT_MS,
  );
  if (rollout === undefined) {
    exitWithError(
      ExitCode.Unavailable,
      `${peer} did not return its view of the fleet`,
    );
  }
  printLine(
    `In force on ${rollout.updated.length}: ${rollout.updated.join(', ')}`,
  );
  for (const {name, version: currentVersion} of rollout.outdated) {
    printLine(`Not on ${name}, which has version ${currentVersion}`);
  }
  return rollout.outdated.length === 0 ? ExitCode.Success : ExitCode.Failure;
}

function printFailure(failure: PublishFailure): ExitCode {
  switch (failure.type) {
    case 'invalid':
      printProblems(failure.problems);
      return ExitCode.Failure;
    case 'conflict':
      printLine(
        `Conflict: made from version ${failure.base}, while version ` +
          `${failure.current} is in force. ` +
          (failure.changed === undefined
            ? 'The log no longer has all changes since.'
            : 'Changed since:'),
      );
      for (const {version, author = 'unknown', changes} of failure.changed ??
        []) {
        printLine(`version ${version} by ${author}:`);
        printChanges(changes);
      }
      return ExitCode.Failure;
    case 'verdictTimeout':
      exitWithError(
        ExitCode.Unavailable,
        failure.sent
          ? `no verdict in time; retry with --id ${failure.id} to look it up`
          : 'not published: the log refused every append',
      );
  }
}
