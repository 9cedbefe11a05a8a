import {writeFileSync} from 'node:fs';
import {burnText, type BurnReport} from '../report/index.js';
import {burnPage} from '../report/burnpage.js';
import {ExitCode, exitWithError} from './exit.js';
import {fetchJson, type OperatorAccess} from './operatorclient.js';

/** Output formats of a report; by default a table on standard output. */
export interface ReportOutput {
  /** Prints JSON on standard output. */
  json: boolean;
  /** File to write an HTML page to. */
  html?: string;
}

/** Reports how fast classes use up the error budgets of their objectives. */
export async function reportBurn(
  access: OperatorAccess,
  {json, html}: ReportOutput,
): Promise<ExitCode> {
  const report = await fetchJson<BurnReport>(access, '/api/burn');
  if (html !== undefined) writePage(html, report);
  if (json) process.stdout.write(`${JSON.stringify(report)}\n`);
  else if (html === undefined) process.stdout.write(burnText(report));
  return ExitCode.Success;
}

function writePage(file: string, report: BurnReport): void {
  try {
    writeFileSync(file, burnPage(report));
  } catch (cause) {
    exitWithError(ExitCode.Usage, `cannot write ${file}: ${String(cause)}`);
  }
}
