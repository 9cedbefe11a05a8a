import {readFileSync} from 'node:fs';
import {err, ok, type Result} from 'neverthrow';
import {Agent} from 'undici';
import {v7 as uuidv7} from 'uuid';
import {
  checkDocument,
  CONFIGURATION_STREAM,
  Follower,
  type Verdict,
} from '../config/index.js';
import {HttpLog} from '../platform/index.js';
import {Level, logOf, openLogger, Part} from '../telemetry/index.js';
import {SystemTimer} from '../timer/index.js';
import {ExitCode, leave} from './exit.js';

const VERDICT_TIMEOUT_MS = 10_000;
const VERDICT_POLL_MS = 20;
const CATCH_UP_MS = 300;

function readDocument(file: string): unknown {
  try {
    return JSON.parse(readFileSync(file, 'utf8')) as unknown;
  } catch (cause) {
    leave(ExitCode.Usage, `cannot read ${file}: ${String(cause)}`);
  }
}

/** Checks a document and prints every problem in it. */
export function checkFile(file: string): ExitCode {
  const checked = checkDocument(readDocument(file));
  if (checked.isOk()) {
    process.stdout.write(`${file} is valid.\n`);
    return ExitCode.Done;
  }
  for (const {path, reason} of checked.error.problems) {
    process.stdout.write(`${path}: ${reason}\n`);
  }
  return ExitCode.Fault;
}

/** Publishing got no verdict in time. */
interface VerdictTimeout {
  type: 'verdictTimeout';
}

/** Publishes a document on the log and waits for the verdict on it. */
export async function publishFile(
  file: string,
  logUrl: string,
): Promise<ExitCode> {
  const document = readDocument(file);
  const verdict = await publish(document, logUrl);
  if (verdict.isErr()) {
    leave(ExitCode.Unavailable, 'no verdict in time; the log may be down');
  }
  process.stdout.write(`${JSON.stringify(verdict.value)}\n`);
  return verdict.value.type === 'accepted' ? ExitCode.Done : ExitCode.Fault;
}

async function publish(
  document: unknown,
  logUrl: string,
): Promise<Result<Verdict, VerdictTimeout>> {
  const agent = new Agent();
  const log = new HttpLog(logUrl, agent);
  const timer = new SystemTimer();
  const root = openLogger(Level.Silent);
  const follower = new Follower(log, timer, logOf(root, Part.Cli));
  follower.start();
  await timer.sleep(CATCH_UP_MS);
  const id = uuidv7();
  const base = follower.current()?.version ?? 0;
  await log.append(CONFIGURATION_STREAM, {
    type: 'submission',
    id,
    base,
    document,
  });
  const end = timer.now() + VERDICT_TIMEOUT_MS;
  let verdict = follower.verdictOn(id);
  while (verdict === undefined && timer.now() < end) {
    await timer.sleep(VERDICT_POLL_MS);
    verdict = follower.verdictOn(id);
  }
  await follower.stop();
  await agent.close();
  return verdict === undefined ? err({type: 'verdictTimeout'}) : ok(verdict);
}
