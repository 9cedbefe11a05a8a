import type {Explanation} from '../report/index.js';
import {ExitCode} from './exit.js';
import {fetchJson, type OperatorAccess} from './operatorclient.js';

/** Prints what was done with a request, in plain sentences. */
export async function explainRequest(
  access: OperatorAccess,
  request: string,
  json: boolean,
): Promise<ExitCode> {
  const path = `/api/requests/${encodeURIComponent(request)}`;
  const explanation = await fetchJson<Explanation>(access, path);
  const text = json
    ? `${JSON.stringify(explanation)}\n`
    : explanationText(explanation);
  process.stdout.write(text);
  return explanation.accounts.length > 0 ? ExitCode.Success : ExitCode.Failure;
}

/** Writes an explanation for a terminal. */
export function explanationText(explanation: Explanation): string {
  const lines = explanation.accounts.flatMap(({instance, sentences}) => [
    `Request ${explanation.request} on instance ${instance}:`,
    ...sentences.map(sentence => `  ${sentence}`),
  ]);
  if (explanation.accounts.length === 0) {
    lines.push(
      `No instance that answered remembers request ${explanation.request}.`,
      'It may be older than the traces kept, or the instance that had it may',
      'have been replaced. A request refused before it was parsed has no trace.',
    );
  }
  for (const {instance, failure} of explanation.silent) {
    lines.push(`Instance ${instance} did not answer (${failure}).`);
  }
  return `${lines.join('\n')}\n`;
}
