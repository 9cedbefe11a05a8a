/**
 * Runs a command beside busy processes, which keep the cores that it may use
 * busy until it has ended, at most for a given time. For tests on a machine
 * that is short of processor time; with taskset, on some of its cores, where
 * it slows whatever else is bound to them.
 *
 *   node scripts/load.mjs PROCESSES SECONDS COMMAND [ARGUMENT...]
 *   taskset -c 0 node scripts/load.mjs 3 60 npx vitest run test/endless.test.ts
 */
import {spawn} from 'node:child_process';

const MAX_PROCESSES = 64;
const MAX_SECONDS = 600;
const SIGNALED_STATUS = 1;

const [processes, seconds] = process.argv.slice(2, 4).map(Number);
const [command, ...commandArguments] = process.argv.slice(4);
if (
  !(Number.isInteger(processes) && processes >= 0) ||
  !(processes <= MAX_PROCESSES && seconds > 0 && seconds <= MAX_SECONDS) ||
  command === undefined
) {
  process.stderr.write(
    'usage: node scripts/load.mjs PROCESSES SECONDS COMMAND [ARGUMENT...]\n' +
      `At most ${MAX_PROCESSES} processes for ${MAX_SECONDS} s.\n`,
  );
  process.exit(2);
}

// Each ends by itself, also if this process is killed.
const busyLoop = `const end = Date.now() + ${seconds * 1000}; while (Date.now() < end);`;
const load = Array.from({length: processes}, () =>
  spawn(process.execPath, ['-e', busyLoop], {stdio: 'ignore'}),
);
process.on('exit', () => {
  for (const busy of load) busy.kill();
});
for (const signal of ['SIGINT', 'SIGTERM']) {
  process.once(signal, () => process.exit(SIGNALED_STATUS));
}

const started = spawn(command, commandArguments, {stdio: 'inherit'});
started.once('error', error => {
  process.stderr.write(`${error.message}\n`);
  process.exit(SIGNALED_STATUS);
});
started.once('exit', status => process.exit(status ?? SIGNALED_STATUS));
