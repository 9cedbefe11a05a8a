/** What all scripts share: the record, the configuration, and the end. */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {isBuilt, sleep} from './gateway.mjs';

/** Exit statuses of a script. */
export const HELD = 0;
export const BROKEN = 1;
export const COULD_NOT_RUN = 2;

/** Whether the disruption takes place. */
export const TROUBLE = process.env.TROUBLE !== '0';

const LIMIT_MS = 110_000;

/** Lines for record.txt, with the time since the start of the script. */
export class Record {
  #lines = [];
  #startedAt = performance.now();

  constructor(folder) {
    this.file = join(folder, 'record.txt');
  }

  now() {
    return performance.now() - this.#startedAt;
  }

  add(text, at = this.now()) {
    this.#lines.push({at, text});
  }

  /** Adds a line and prints it. */
  tell(text) {
    this.add(text);
    console.log(text);
  }

  write() {
    const lines = this.#lines
      .sort((a, b) => a.at - b.at)
      .map(({at, text}) => `${(at / 1_000).toFixed(3).padStart(9)} s  ${text}`);
    writeFileSync(this.file, `${lines.join('\n')}\n`);
  }
}

/**
 * Runs a script in a temporary folder. `play` gets the record, the folder, and a
 * function that registers what to do at the end; it returns whether the rule held.
 */
export async function run(caseFolder, play) {
  const record = new Record(caseFolder);
  const folder = mkdtempSync(join(tmpdir(), 'review-'));
  process.on('exit', () => rmSync(folder, {recursive: true, force: true}));
  const cleanups = [];
  const timeout = setTimeout(() => {
    record.tell('could not run: it took too long');
    record.write();
    process.exit(COULD_NOT_RUN);
  }, LIMIT_MS);
  let status = COULD_NOT_RUN;
  try {
    if (isBuilt()) {
      record.tell(`trouble: ${TROUBLE ? 'yes' : 'no'}`);
      const holds = await play({
        record,
        folder,
        cleanUp: cleanup => cleanups.push(cleanup),
      });
      status = holds ? HELD : BROKEN;
    } else record.tell('could not run: the program was not built');
  } catch (error) {
    record.tell(`could not run: ${error.stack}`);
  }
  for (const cleanup of cleanups.reverse()) await cleanup();
  clearTimeout(timeout);
  record.write();
  await sleep(50);
  process.exit(status);
}

export const HOST = 'review.example';
export const KEY = 'key-of-the-review';
/** A key of the same tenant, which a later configuration may drop. */
export const OTHER_KEY = 'other-key-of-the-review';

/** A configuration of the operator with one key. */
export function configuration(version, routes, services, apiKeys = [KEY]) {
  return {
    version,
    routes: routes.map(route => ({
      host: HOST,
      maxAttempts: 1,
      public: false,
      sticky: false,
      resumable: false,
      priority: 1,
      ...route,
    })),
    services: services.map(service => ({
      healthPath: '/healthz',
      maxConnections: 110,
      protocol: 'h1',
      tls: false,
      ...service,
    })),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{name: 'tenant', apiKeys}],
  };
}
