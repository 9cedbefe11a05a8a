import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {expect, onTestFinished, test, vi} from 'vitest';
import {GatewayProcess} from '../bench/soak/gatewayprocess.js';
import {SoakHistory} from '../bench/soak/history.js';
import {checkRunning} from '../bench/soak/ownends.js';

const HANG_UP = "process.kill(process.pid, 'SIGHUP');";
const LOG = "require('node:fs').writeSync(1, 'a line\\n');";

/** Runs programs one after the other as a gateway; returns what is found. */
async function findingsOf(...programs: string[]): Promise<string[]> {
  const folder = mkdtempSync(join(tmpdir(), 'gypsumcourse-'));
  const file = join(folder, 'program.cjs');
  const history = new SoakHistory();
  const gateway = await GatewayProcess.open(1, 1, folder, history, file);
  gateway.restarts = false;
  onTestFinished(async () => {
    await Promise.all([gateway.ingress.close(), gateway.storeLink.close()]);
    rmSync(folder, {recursive: true});
  });
  for (const [index, program] of programs.entries()) {
    writeFileSync(file, program);
    gateway.start();
    await vi.waitFor(
      () => expect(history.ownEnds).toHaveLength(index + 1),
      30_000,
    );
  }
  return checkRunning(history.ownEnds).map(
    ({request, message}) => `${request}: ${message}`,
  );
}

test('SIGHUP is excused for a process that has logged nothing', async () => {
  const findings = await findingsOf(HANG_UP, LOG + HANG_UP, HANG_UP);
  expect(findings).toEqual([
    'entry-1/2: the process ended by itself with SIGHUP',
  ]);
});

test('no other end is excused', async () => {
  const findings = await findingsOf(
    "process.kill(process.pid, 'SIGABRT');",
    'process.exit(0);',
    `${LOG}process.exit(3);`,
  );
  expect(findings).toEqual([
    'entry-1/1: the process ended by itself with SIGABRT',
    'entry-1/2: the process ended by itself with 0',
    'entry-1/3: the process ended by itself with 3',
  ]);
});
