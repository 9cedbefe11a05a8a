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

const START = "console.log('start');";

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
  writeFileSync(join(folder, 'platform', 'start.ts'), START);
  writeFileSync(join(folder, 'platform', 'main.ts'), source);
  const files = ['start.cjs', 'gypsumcourse.js'].map(name =>
    join(folder, 'target', name),
  );
  for (const file of files) writeFileSync(file, 'earlier');
  const {status} = spawnSync(process.execPath, [script]);
  const [start, text] = files.map(file =>
    existsSync(file) ? readFileSync(file, 'utf8') : undefined,
  );
  return {isBuilt: status === 0, start, text};
}

// The program of an earlier build ran on, with the faults that were mended since.
test('a build that fails leaves no earlier bundle', () => {
  const failed = {isBuilt: false, start: undefined, text: undefined};
  expect(build('const = 1;')).toEqual(failed);
  expect(build('', tmpdir())).toEqual(failed);
});

test('a bundle names the commit that was built', () => {
  const source = "console.log(process.env['GYPSUMCOURSE_REVISION']);";
  const {isBuilt, start, text} = build(source);
  expect(isBuilt).toBe(true);
  expect(start).toContain('start');
  expect(text).toMatch(/console\.log\("[-\w]+"\)/);
});
