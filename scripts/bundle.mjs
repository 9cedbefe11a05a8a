/**
 * Bundles the router for the hosting platform into one file, which starts
 * faster than loading its modules one by one, and the small file that loads it.
 */
import {execFileSync} from 'node:child_process';
import {renameSync, rmSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

const root = dirname(dirname(fileURLToPath(import.meta.url)));

const bundle = join(root, 'target', 'gypsumcourse.js');
/** The first file of the process. Node.js loads CommonJS sooner. */
const start = join(root, 'target', 'start.cjs');
const unfinished = file => `${file}.${process.pid}`;

/** The commit that is built; with a suffix if files were changed since. */
function revision() {
  try {
    const options = {cwd: root, encoding: 'utf8', stdio: 'pipe'};
    const flags = ['describe', '--always', '--dirty', '--exclude', '*'];
    return execFileSync('git', flags, options).trim();
  } catch {
    return 'unknown';
  }
}

async function buildAll() {
  // Packages that were installed on another kind of machine fail here.
  const {build} = await import('esbuild');
  const options = {
    bundle: true,
    platform: 'node',
    target: 'node20',
    logLevel: 'warning',
  };
  await build({
    ...options,
    entryPoints: [join(root, 'platform', 'start.ts')],
    outfile: unfinished(start),
    format: 'cjs',
  });
  await build({
    ...options,
    entryPoints: [join(root, 'platform', 'main.ts')],
    outfile: unfinished(bundle),
    format: 'esm',
    // Bundled CommonJS packages call `require`, which ES modules do not define.
    banner: {
      js: "import {createRequire} from 'node:module'; const require = createRequire(import.meta.url);",
    },
    define: {'process.env.GYPSUMCOURSE_REVISION': JSON.stringify(revision())},
  });
}

try {
  await buildAll();
} catch (error) {
  // Whoever starts the program next must not get an earlier build.
  for (const file of [start, bundle]) {
    rmSync(file, {force: true});
    rmSync(unfinished(file), {force: true});
  }
  throw error;
}

// The rename is atomic, so that a process that starts during the build never
// reads a partly written file. The program goes first, as `start.cjs` relies on
// it to take the signals over.
for (const file of [bundle, start]) renameSync(unfinished(file), file);
