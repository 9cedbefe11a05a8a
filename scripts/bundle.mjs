/**
 * Bundles the router for the hosting platform into one file, which starts
 * faster than loading its modules one by one.
 */
import {execFileSync} from 'node:child_process';
import {renameSync, rmSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

const root = dirname(dirname(fileURLToPath(import.meta.url)));

const bundle = join(root, 'target', 'gypsumcourse.js');
const unfinished = `${bundle}.${process.pid}`;

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

async function bundleTo(outfile) {
  // Packages that were installed on another kind of machine fail here.
  const {build} = await import('esbuild');
  await build({
    entryPoints: [join(root, 'platform', 'main.ts')],
    outfile,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'esm',
    // Bundled CommonJS packages call `require`, which ES modules do not define.
    banner: {
      js: "import {createRequire} from 'node:module'; const require = createRequire(import.meta.url);",
    },
    define: {'process.env.GYPSUMCOURSE_REVISION': JSON.stringify(revision())},
    logLevel: 'warning',
  });
}

try {
  await bundleTo(unfinished);
} catch (error) {
  // Whoever starts the program next must not get an earlier build.
  rmSync(bundle, {force: true});
  throw error;
}

// The rename is atomic, so that a process that starts during the build never
// reads a partly written bundle.
renameSync(unfinished, bundle);
