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

/** How to publish a document. */
export interface PublishArguments {
  file: string;
  logUrl: string;
  /** Version the document was made from; the one in force by default. */
  base?: number;
  author?: string;
  /** Id of the submission, to repeat one whose outcome is not known. */
  id?: string;
  /** host:port of an instance to ask who has the new version. */
  peer?: string;
}

function readDocument(file: string): unknown {
  try {
    return JSON.parse(readFileSync(file, 'utf8')) as unknown;
  } catch (cause) {
    exitWithError(ExitCode.Usage, `cannot read ${file}: ${String(cause)}`);
  }
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function printProblems(problems: readonly Problem[]): void {
  for (const {path, reason} of problems) print(`${path}: ${reason}`);
}

function printChanges(changes: readonly Change[]): void {
  for (const {path, value} of changes) {
    const place = path.join('.');
    if (value === undefined) print(`- ${place}`);
    else print(`+ ${place} = ${JSON.stringify(value)}`);
  }
}

async function openLog(logUrl: string): Promise<LogSession> {
  const session = await LogSession.open(logUrl);
  if (session !== undefined) return session;
  exitWithError(ExitCode.Unavailable, 'the log cannot be read');
}

/** Checks a document and prints every problem in it. */
export function checkFile(file: string): ExitCode {
  const checked = checkDocument(readDocument(file));
  if (checked.isOk()) {
    print(`${file} is valid.`);
    return ExitCode.Success;
  }
  printProblems(checked.error.problems);
  return ExitCode.Failure;
}

/** Prints the document in force, and its version on standard error. */
export async function showConfiguration(logUrl: string): Promise<ExitCode> {
  const session = await openLog(logUrl);
  const current = session.follower.current();
  await session.close();
  if (current === undefined) {
    exitWithError(ExitCode.Failure, 'there is no configuration yet');
  }
  process.stderr.write(`version ${current.version}\n`);
  print(JSON.stringify(current.document, null, 2));
  return ExitCode.Success;
}

/** Prints what a document would change of the one in force. */
export async function showDifference(
  file: string,
  logUrl: string,
): Promise<ExitCode> {
  const checked = checkDocument(readDocument(file));
  if (checked.isErr()) {
    printProblems(checked.error.problems);
    return ExitCode.Failure;
  }
  const session = await openLog(logUrl);
  const current = session.follower.current();
  await session.close();
  printChanges(diff(current?.document ?? {}, checked.value));
  return ExitCode.Success;
}

/** Publishes a document, and tells which instances have it in force. */
export async function publishFile(
  args: PublishArguments,
  env: NodeJS.ProcessEnv,
): Promise<ExitCode> {
  const document = readDocument(args.file);
  const session = await openLog(args.logUrl);
  const {author, id} = args;
  const base = args.base ?? session.follower.current()?.version ?? 0;
  const draft = {base, document, ...(author === undefined ? {} : {author})};
  const result = await session.publish(draft, id === undefined ? {} : {id});
  await session.close();
  if (result.isErr()) return explainFailure(result.error);
  print(JSON.stringify(result.value));
  if (args.peer === undefined) return ExitCode.Success;
  return tellRollout(result.value.version, args.peer, env);
}

async function tellRollout(
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
    exitWithError(ExitCode.Unavailable, `${peer} did not tell of the fleet`);
  }
  print(`In force on ${rollout.updated.length}: ${rollout.updated.join(', ')}`);
  for (const {name, version: old} of rollout.outdated) {
    print(`Not on ${name}, which has version ${old}`);
  }
  return rollout.outdated.length === 0 ? ExitCode.Success : ExitCode.Failure;
}

function explainFailure(failure: PublishFailure): ExitCode {
  switch (failure.type) {
    case 'invalid':
      printProblems(failure.problems);
      return ExitCode.Failure;
    case 'conflict':
      print(
        `Conflict: made from version ${failure.base}, while version ` +
          `${failure.current} is in force. Changed since:`,
      );
      for (const {version, author = 'unknown', changes} of failure.changed ??
        []) {
        print(`version ${version} by ${author}:`);
        printChanges(changes);
      }
      return ExitCode.Failure;
    case 'verdictTimeout':
      exitWithError(
        ExitCode.Unavailable,
        failure.sent
          ? `no verdict in time; repeat with --id ${failure.id} to learn it`
          : 'not published: the log took no record',
      );
  }
}
