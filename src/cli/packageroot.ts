import {existsSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

/** Returns the package's root folder, whether run from source or a build. */
export function packageRoot(): string {
  let folder = dirname(fileURLToPath(import.meta.url));
  while (!existsSync(join(folder, 'package.json'))) folder = dirname(folder);
  return folder;
}
