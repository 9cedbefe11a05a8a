import {writeFileSync} from 'node:fs';
import {burnText, type BurnReport} from '../report/index.js';
import {burnPage} from '../report/burnpage.js';
import {ExitCode, exitWithError} from './exit.js';
import {fetchJson, type OperatorAccess} from './operatorclient.js';

/** Where a report goes: a table, JSON, or a page in a file. */
export interface ReportOutput {
  json: boolean;
  html?: string;
}

/** Prints the report on service-level burn. */
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
