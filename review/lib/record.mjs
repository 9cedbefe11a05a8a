/** What a case sent, answered and ran; written to record.txt at its end. */
import {writeFileSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

export const TROUBLE = process.env.TROUBLE !== '0';

export class Record {
  constructor(caseUrl) {
    this.file = join(dirname(fileURLToPath(caseUrl)), 'record.txt');
    this.startedAt = Date.now();
    this.lines = [];
  }

  /** Adds a line, with the seconds since the start of the case. */
  note(text, at = Date.now()) {
    this.lines.push({at, text});
  }

  answer(result, gateway = '') {
    const {id, path, sentAt, status, error, complete, headers = {}} = result;
    const seal = headers['x-response-seal'] ?? 'none';
    const outcome =
      status === undefined
        ? `no answer (${error})`
        : `${status} seal ${seal}${complete ? '' : ' CUT'}`;
    this.note(`client sent ${id} ${path} to ${gateway}`, sentAt);
    this.note(`client got ${id} ${outcome}`, result.endedAt);
  }

  runs(runners) {
    for (const {runs} of runners) {
      for (const {at, id, runner, version, method, path, headers} of runs) {
        const last = headers['last-event-id'];
        this.note(
          `runner ${runner} (${version}) ran ${id} ${method} ${path}` +
            (last === undefined ? '' : ` after event ${last}`),
          at,
        );
      }
    }
  }

  write() {
    const lines = this.lines
      .sort((a, b) => a.at - b.at)
      .map(({at, text}) => {
        const seconds = ((at - this.startedAt) / 1_000).toFixed(3);
        return `${seconds.padStart(8)} ${text}\n`;
      });
    writeFileSync(this.file, lines.join(''));
  }
}

/**
 * Runs a case: `body` resolves to whether the rule held, or to undefined if
 * the case couldn't run. Ends the process with the status of the case.
 */
export async function runCase(record, body, cleanUp) {
  let status = 2;
  const limit = setTimeout(() => {
    record.note('the case took too long');
    void finish();
  }, 110_000);
  const finish = async () => {
    clearTimeout(limit);
    try {
      await cleanUp();
    } finally {
      record.write();
      process.exit(status);
    }
  };
  try {
    const held = await body();
    if (held !== undefined) status = held ? 0 : 1;
  } catch (error) {
    record.note(`the case failed: ${error.stack}`);
    console.error(error);
  }
  await finish();
}
