/**
 * Bundles the router for the hosting platform into one file, which starts
 * faster than loading its modules one by one.
 */
import {renameSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {build} from 'esbuild';

const root = dirname(dirname(fileURLToPath(import.meta.url)));

const bundle = join(root, 'target', 'gypsumcourse.js');
const unfinished = `${bundle}.${process.pid}`;

await build({
  entryPoints: [join(root, 'platform', 'main.ts')],
  outfile: unfinished,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  // Bundled CommonJS packages call `require`, which ES modules do not define.
  banner: {
    js: "import {createRequire} from 'node:module'; const require = createRequire(import.meta.url);",
  },
  logLevel: 'warning',
});

// The rename is atomic, so that a process that starts during the build never
// reads a partly written bundle.
renameSync(unfinished, bundle);
