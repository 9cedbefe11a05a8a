import {existsSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

/** Returns the folder of the package, from source and from the build alike. */
export function packageRoot(): string {
  let folder = dirname(fileURLToPath(import.meta.url));
  while (!existsSync(join(folder, 'package.json'))) folder = dirname(folder);
  return folder;
}
