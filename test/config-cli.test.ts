import {execFile} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {Cluster} from '../bench/cluster.js';
import {Deployment, exampleOf} from '../bench/deployment.js';
import {withChangedWorkspace} from '../bench/slope/documents.js';
import {packageRoot} from '../src/cli/packageroot.js';

const MAIN = join(packageRoot(), 'build', 'src', 'cli', 'main.js');
const ROUTERS = 2;

let cluster: Cluster;
let folder: string;

beforeAll(async () => {
  folder = mkdtempSync(join(tmpdir(), 'gypsumcourse-'));
  cluster = await Cluster.start({
    document: exampleOf(Deployment.Hraunvik),
    routers: ROUTERS,
  });
});

afterAll(async () => {
  await cluster.stop();
  rmSync(folder, {recursive: true});
});

const run = (...args: string[]) =>
  new Promise<{code: number; out: string}>(resolve => {
    const env = {
      ...process.env,
      GYPSUMCOURSE_PEER_SECRETS: Cluster.peerSecret,
    };
    execFile(
      process.execPath,
      [MAIN, ...args],
      {env},
      (error, stdout, stderr) => {
        const code = error === null ? 0 : Number(error.code);
        resolve({code, out: stdout + stderr});
      },
    );
  });

const peerAddress = () => cluster.routers[0]?.proxy.address ?? '';

const writeDocument = (name: string, document: unknown) => {
  const file = join(folder, name);
  writeFileSync(file, JSON.stringify(document));
  return file;
};

describe('the command line', () => {
  it('publishes a document and prints which instances have it', async () => {
    const logUrl = cluster.log.url;
    const next = writeDocument(
      'next.json',
      withChangedWorkspace(cluster.document, 1),
    );
    const difference = await run('config', 'diff', next, '--log-url', logUrl);
    expect(difference.out).toMatch(/^\+ workspaces\.[a-z-]+\.weight = 1\.01/);
    const published = await run(
      ...['config', 'publish', next, '--log-url', logUrl],
      ...['--base', '1', '--author', 'ada', '--peer', peerAddress()],
    );
    expect(published.out).toContain('"type":"accepted"');
    expect(published.out).toMatch(/In force on 2: /);
    expect(published.code).toBe(0);
  });

  it('tells of a conflict what changed and by whom', async () => {
    const late = writeDocument(
      'late.json',
      withChangedWorkspace(cluster.document, 2),
    );
    const refused = await run(
      ...['config', 'publish', late, '--log-url', cluster.log.url],
      ...['--base', '1'],
    );
    expect(refused.code).toBe(1);
    expect(refused.out).toContain('Conflict: made from version 1');
    expect(refused.out).toContain('by ada:');
  });

  it('prints the document in force, and refuses an invalid one', async () => {
    const shown = await run('config', 'show', '--log-url', cluster.log.url);
    expect(shown.out).toContain('"weight": 1.01');
    const broken = writeDocument('broken.json', {
      ...cluster.document,
      zones: [],
    });
    const checked = await run('config', 'check', broken);
    expect(checked).toMatchObject({code: 1});
    expect(checked.out).toMatch(/^zones: /);
  });

  it('takes an upstream out of use and puts it back', async () => {
    const name = cluster.upstreams[0]?.name ?? '';
    const peerFlag = ['--peer', peerAddress()];
    const leaveResult = await run('upstream', 'leave', name, ...peerFlag);
    expect(leaveResult).toEqual({code: 0, out: `${name} leaves.\n`});
    const listed = await run('upstream', 'list', ...peerFlag);
    expect(listed.out).toContain(`${name}: takes no new work (operator)`);
    const returnResult = await run('upstream', 'return', name, ...peerFlag);
    expect(returnResult).toEqual({code: 0, out: `${name} returns.\n`});
    const unknown = await run('upstream', 'leave', 'nobody', ...peerFlag);
    expect(unknown.code).toBe(1);
  });
});
