import {spawnSync} from 'node:child_process';
import {
  cpSync,
  existsSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  symlinkSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterEach, expect, test} from 'vitest';

const folders: string[] = [];

afterEach(() => {
  for (const folder of folders.splice(0)) rmSync(folder, {recursive: true});
});

/** Builds a program where an earlier build left a bundle. */
function build(source: string, packages = join(process.cwd(), 'node_modules')) {
  const folder = mkdtempSync(join(tmpdir(), 'gypsumcourse-'));
  folders.push(folder);
  for (const name of ['scripts', 'platform', 'target']) {
    mkdirSync(join(folder, name));
  }
  const script = join(folder, 'scripts', 'bundle.mjs');
  cpSync(join('scripts', 'bundle.mjs'), script);
  symlinkSync(packages, join(folder, 'node_modules'));
  writeFileSync(join(folder, 'platform', 'main.ts'), source);
  const bundle = join(folder, 'target', 'gypsumcourse.js');
  writeFileSync(bundle, 'earlier');
  const {status} = spawnSync(process.execPath, [script]);
  const text = existsSync(bundle) ? readFileSync(bundle, 'utf8') : undefined;
  return {isBuilt: status === 0, text};
}

// The program of an earlier build ran on, with the faults that were mended since.
test('a build that fails leaves no earlier bundle', () => {
  expect(build('const = 1;')).toEqual({isBuilt: false, text: undefined});
  expect(build('', tmpdir())).toEqual({isBuilt: false, text: undefined});
});

test('a bundle names the commit that was built', () => {
  const source = "console.log(process.env['GYPSUMCOURSE_REVISION']);";
  const {isBuilt, text} = build(source);
  expect(isBuilt).toBe(true);
  expect(text).toMatch(/console\.log\("[-\w]+"\)/);
});
