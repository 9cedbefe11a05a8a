import {spawn, spawnSync} from 'node:child_process';
import {openSync, readFileSync} from 'node:fs';
import {join} from 'node:path';
import {expect, test} from 'vitest';
import {packageRoot} from '../src/cli/packageroot.js';
import {LogEvent} from '../src/telemetry/index.js';

test('every log event is documented, and nothing else is', () => {
  const page = readFileSync('docs/LOGS.md', 'utf8');
  const documented = [...page.matchAll(/^\| `(\w+)` /gm)].map(
    match => match[1],
  );
  expect(documented.sort()).toEqual(Object.values(LogEvent).sort());
});

const telemetry = join(packageRoot(), 'build', 'src', 'telemetry', 'index.js');

/** Runs a script that has an output logger, in a process of its own. */
function runLogging(script: string, reader: 'pipe' | 'closed') {
  const prelude = `
    import {endOnDefect, openOutputLogger} from ${JSON.stringify(telemetry)};
    const {logger, dropped} = openOutputLogger();
    endOnDefect(logger);
  `;
  const {status, stdout, stderr} = spawnSync(
    process.execPath,
    ['--input-type=module', '--eval', prelude + script],
    {
      encoding: 'utf8',
      timeout: 5_000,
      // A descriptor that can only be read refuses what is written to it.
      stdio: [
        'ignore',
        reader === 'pipe' ? 'pipe' : openSync('/dev/null', 'r'),
        'pipe',
      ],
    },
  );
  return {status, stdout, stderr};
}

test('an error that nothing handles is logged before the process ends', () => {
  const {status, stdout} = runLogging(
    `setTimeout(() => { throw new Error('the cause'); }, 1);`,
    'pipe',
  );
  expect(status).toBe(1);
  const line = JSON.parse(stdout) as {event: string; stack: string};
  expect(line.event).toBe(LogEvent.Defect);
  expect(line.stack).toContain('Error: the cause');
});

test('a rejection that nothing handles is logged too', () => {
  const {status, stdout} = runLogging(
    `void Promise.reject(new Error('the cause'));`,
    'pipe',
  );
  expect(status).toBe(1);
  expect(stdout).toContain('"origin":"unhandledRejection"');
});

test('an output that fails costs lines, not the process', () => {
  const {status, stderr} = runLogging(
    `logger.info('lost');
     setTimeout(() => {
       process.stderr.write(dropped() > 0 ? 'counted' : 'not counted');
       process.exit(0);
     }, 100);`,
    'closed',
  );
  expect({status, stderr}).toEqual({status: 0, stderr: 'counted'});
});

test('a reader that stops delays nothing and costs lines', async () => {
  const child = spawn(
    process.execPath,
    [
      '--input-type=module',
      '--eval',
      `import {openOutputLogger} from ${JSON.stringify(telemetry)};
       const {logger, dropped} = openOutputLogger();
       const startedAt = performance.now();
       for (let n = 0; n < 20_000; n++) logger.info('x'.repeat(200));
       setTimeout(() => {
         const ms = performance.now() - startedAt;
         process.stderr.write(JSON.stringify({ms, dropped: dropped()}));
         process.exit(0);
       }, 10);`,
    ],
    {stdio: ['ignore', 'pipe', 'pipe'], timeout: 10_000},
  );
  child.stdout.pause();
  child.stderr.setEncoding('utf8');
  let report = '';
  child.stderr.on('data', (text: string) => {
    report += text;
  });
  const status = await new Promise(resolve => child.on('exit', resolve));
  child.stdout.destroy();
  const {ms, dropped} = JSON.parse(report) as {ms: number; dropped: number};
  expect(status).toBe(0);
  expect(ms).toBeLessThan(2_000);
  // About 5 MB are written, of which 1 MiB is kept and a little was taken.
  expect(dropped).toBeGreaterThan(10_000);
});
