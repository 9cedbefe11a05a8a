import {request} from 'undici';
import {ExitCode, exitWithError} from './exit.js';

const CALL_TIMEOUT_MS = 15_000;

/** How the command line reaches an instance's operators' listener. */
export interface OperatorAccess {
  /** Base URL of the operators' listener of any instance. */
  url: string;
  secret: string;
}

/** Reads a JSON answer, or ends the process with one line. */
export async function fetchJson<Answer>(
  access: OperatorAccess,
  path: string,
): Promise<Answer> {
  const response = await request(new URL(path, access.url), {
    headers: {authorization: `Bearer ${access.secret}`},
    signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
  }).catch((cause: unknown) =>
    exitWithError(
      ExitCode.Unavailable,
      `cannot reach ${access.url}: ${String(cause)}`,
    ),
  );
  if (response.statusCode === 401) {
    exitWithError(ExitCode.Usage, 'the operator secret was refused');
  }
  if (response.statusCode !== 200) {
    exitWithError(
      ExitCode.Unavailable,
      `${path} answered ${response.statusCode}`,
    );
  }
  return (await response.body.json()) as Answer;
}
