import {request} from 'undici';
import {ExitCode, exitWithError} from './exit.js';

const REQUEST_TIMEOUT_MS = 15_000;

/** URL and secret of an instance's operators' listener. */
export interface OperatorAccess {
  /** Base URL of the operators' listener of any instance. */
  url: string;
  secret: string;
}

/**
 * Returns the JSON at a path of the operators' listener. If the request fails,
 * prints the cause on standard error and exits.
 */
export async function fetchJson<Answer>(
  access: OperatorAccess,
  path: string,
): Promise<Answer> {
  const response = await request(new URL(path, access.url), {
    headers: {authorization: `Bearer ${access.secret}`},
    signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
  }).catch((cause: unknown) =>
    exitWithError(
      ExitCode.Unavailable,
      `cannot reach ${access.url}: ${String(cause)}`,
    ),
  );
  if (response.statusCode === 401) {
    exitWithError(ExitCode.Usage, 'the instance refused the operator secret');
  }
  if (response.statusCode !== 200) {
    exitWithError(
      ExitCode.Unavailable,
      `${path} answered ${response.statusCode}`,
    );
  }
  return (await response.body.json()) as Answer;
}
