/** Bundles the gateway into one file, which starts faster than its modules. */
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
  // Packages in the older module format ask for `require`.
  banner: {
    js: "import {createRequire} from 'node:module'; const require = createRequire(import.meta.url);",
  },
  logLevel: 'warning',
});

// A process that starts meanwhile must not read half a file.
renameSync(unfinished, bundle);
