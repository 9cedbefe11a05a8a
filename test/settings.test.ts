import {spawnSync} from 'node:child_process';
import {join} from 'node:path';
import {describe, expect, it} from 'vitest';
import {packageRoot} from '../src/cli/packageroot.js';
import {checkSettings} from '../src/instance/index.js';

const main = join(packageRoot(), 'build', 'src', 'cli', 'main.js');

const run = (...args: string[]) => {
  const {status, stderr} = spawnSync(process.execPath, [main, ...args], {
    encoding: 'utf8',
    env: {PATH: process.env['PATH'] ?? ''},
  });
  return {status, lines: stderr.trimEnd().split('\n')};
};

describe('settings', () => {
  it('are told all at once when they are wrong', () => {
    const checked = checkSettings({
      instance: 'Entry 1',
      port: 70_000,
      logUrl: 'nowhere',
      seeds: ['no port'],
    });
    const problems = checked.isErr() ? checked.error.problems : [];
    expect(problems.map(({setting}) => setting)).toMatchInlineSnapshot(`
      [
        "instance",
        "zone",
        "port",
        "logUrl",
        "seeds.0",
      ]
    `);
  });

  it('end the process with one line and a documented code', () => {
    expect(run('serve', '--instance', 'Entry 1')).toMatchInlineSnapshot(`
      {
        "lines": [
          "gypsumcourse: bad settings: --instance must be lower-case letters, digits, dots and dashes, 1-63; --zone is required; --log-url is required",
        ],
        "status": 2,
      }
    `);
  });

  it('are not taken for flags of other commands', () => {
    expect(run('version').status).toBe(0);
    expect(run('serve', '--no-such-flag').status).toBe(2);
  });
});
