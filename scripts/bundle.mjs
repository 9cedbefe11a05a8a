/** Bundles the gateway into one file, which starts faster than its modules. */
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {build} from 'esbuild';

const root = dirname(dirname(fileURLToPath(import.meta.url)));

await build({
  entryPoints: [join(root, 'platform', 'main.ts')],
  outfile: join(root, 'target', 'gypsumcourse.js'),
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
