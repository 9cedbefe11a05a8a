/**
 * Installs the locked dependencies when they are missing or older than the
 * lock file, then compiles. Every npm script that runs code calls this first,
 * so each of them works on a fresh clone.
 */
import {spawnSync} from 'node:child_process';
import {existsSync, statSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

const root = dirname(dirname(fileURLToPath(import.meta.url)));
const installed = join(root, 'node_modules', '.package-lock.json');
const locked = join(root, 'package-lock.json');

function run(command, args) {
  const done = spawnSync(command, args, {cwd: root, stdio: ['ignore', 2, 2]});
  if (done.status !== 0) process.exit(done.status ?? 1);
}

const stale =
  !existsSync(installed) ||
  statSync(installed).mtimeMs < statSync(locked).mtimeMs;
if (stale) run('npm', ['ci', '--no-audit', '--no-fund']);
run(process.execPath, [
  join(root, 'node_modules', 'typescript', 'bin', 'tsc'),
  '-p',
  join(root, 'tsconfig.json'),
]);
