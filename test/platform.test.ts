import {execFileSync, spawn} from 'node:child_process';
import {once} from 'node:events';
import {
  closeSync,
  cpSync,
  mkdirSync,
  mkdtempSync,
  openSync,
  readdirSync,
  readFileSync,
  renameSync,
  rmSync,
  statSync,
  writeFileSync,
} from 'node:fs';
import {open} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import fc from 'fast-check';
import {expect, onTestFinished, test, vi} from 'vitest';
import {decodeConfiguration} from '../platform/configuration.js';
import {decodeEntry} from '../platform/entry.js';
import {protocol} from '../platform/headers.js';
import {decodePage, encodeRecord} from '../platform/records.js';
import {decodeSettings} from '../platform/settings.js';
import {wireConfiguration, wireEntry} from './support/gateway.js';

/** Headers, fields, calls and variables that only platform/ may name. */
const PLATFORM_NAMES = [
  'x-tenant',
  'x-deadline-ms',
  'x-expect-instance',
  'x-response-seal',
  'x-not-executed',
  'x-server-load',
  'server-leaving',
  'x-token-counts',
  'x-prompt-prefix',
  'x-request-priority',
  'pathPrefix',
  'targetLatencyMs',
  'gapTargetMs',
  'trafficSplit',
  'maxAttempts',
  'apiKeys',
  'coldRemainingMs',
  'retryBudgetRatio',
  'graceS',
  'nodeName',
  'log-newest',
  'log-append',
  'keyed.op',
  'keyed.servers',
  '/v1/readyz',
  'GYPSUMCOURSE_BOOT',
];
function sourceFiles(folder: string): string[] {
  return readdirSync(folder).flatMap(name => {
    const path = join(folder, name);
    if (statSync(path).isDirectory()) return sourceFiles(path);
    return path.endsWith('.ts') ? [path] : [];
  });
}

test('src/ uses no names of the platform protocol', () => {
  const found = sourceFiles('src').flatMap(path => {
    const text = readFileSync(path, 'utf8').toLowerCase();
    return PLATFORM_NAMES.filter(name => text.includes(name.toLowerCase())).map(
      name => `${path}: ${name}`,
    );
  });
  expect(found).toEqual([]);
});

test('platform/ has fewer than 1,500 lines', () => {
  const lines = sourceFiles('platform').map(
    path => readFileSync(path, 'utf8').split('\n').length,
  );
  expect(lines.reduce((sum, count) => sum + count, 0)).toBeLessThan(1_500);
});

const configurationRecord = (value: unknown) => ({
  key: 'config',
  value: Buffer.from(JSON.stringify(value)),
  offset: 3,
});

test('a configuration is decoded into routes, services and workspaces', () => {
  expect(
    decodeConfiguration(configurationRecord(wireConfiguration(7))),
  ).toMatchSnapshot();
});

test('a truncated or invalid configuration is rejected with a reason', () => {
  const truncated = {
    ...configurationRecord(0),
    value: Buffer.from('{"version":'),
  };
  expect(decodeConfiguration(truncated)).toHaveProperty('reason');
  expect(decodeConfiguration(configurationRecord({version: 1}))).toHaveProperty(
    'reason',
  );
  expect(
    decodeConfiguration({...configurationRecord(0), key: 'else'}),
  ).toBeUndefined();
});

test('an entry is decoded only if every field is valid', () => {
  const valid = {...wireEntry('plain', 9_000), address: '127.0.0.1:9000'};
  const encode = (value: unknown) => Buffer.from(JSON.stringify(value));
  expect(decodeEntry('i-1', encode(valid))).toMatchInlineSnapshot(`
    {
      "coldMs": 0,
      "host": "127.0.0.1",
      "id": "i-1",
      "port": 9000,
      "sequence": 1,
      "service": "plain",
      "slots": 4,
      "softwareVersion": "v1",
      "startedAt": 1700000000000,
      "state": "ready",
      "zone": "zone-a",
    }
  `);
  const invalid: unknown[] = [
    {...valid, address: 9},
    {...valid, address: 'nowhere'},
    {...valid, state: 'odd'},
    {...valid, slots: '4'},
    {...valid, slots: 0},
    {...valid, born: 1.5},
    {...valid, seq: undefined},
    [],
    null,
  ];
  for (const value of invalid) {
    expect(decodeEntry('i-1', encode(value))).toHaveProperty('reason');
  }
  expect(decodeEntry('i-1', Buffer.from([0xff, 0]))).toHaveProperty('reason');
});

test('invalid settings are reported with all their problems', () => {
  const result = decodeSettings({
    nodeName: 'a',
    zones: {},
    listen: {front: 'x'},
  });
  const problems = result.isErr() ? result.error.problems : [];
  expect(problems.map(problem => problem.split(':')[0])).toMatchInlineSnapshot(`
    [
      "ip",
      "zone",
      "listen.front",
      "listen.ready",
      "bounds",
      "platform",
      "internalPorts",
    ]
  `);
});

test('decoding restores encoded records and rejects a truncated page', () => {
  fc.assert(
    fc.property(
      fc.array(
        fc.tuple(
          fc.string({minLength: 1, maxLength: 20}),
          fc.uint8Array({minLength: 1, maxLength: 50}),
        ),
        {maxLength: 8},
      ),
      fc.nat(1_000),
      fc.nat(),
      (written, from, cutSeed) => {
        const head = Buffer.alloc(16);
        head.writeBigUInt64BE(BigInt(from + written.length));
        const records = written.map(([key, value]) =>
          encodeRecord(key, Buffer.from(value)),
        );
        const page = Buffer.concat([head, ...records]);
        const read = decodePage(page, from, 3)._unsafeUnwrap();
        expect(read).toEqual({
          type: 'records',
          end: from + written.length,
          epoch: 3,
          records: written.map(([key, value], index) => ({
            key: Buffer.from(key).toString('utf8'),
            value: Buffer.from(value),
            offset: from + index,
          })),
        });
        const recordEnds = new Set([16]);
        let position = 16;
        for (const bytes of records) recordEnds.add((position += bytes.length));
        const length = cutSeed % (page.length + 1);
        const truncated = decodePage(page.subarray(0, length), from, 0);
        expect(truncated.isOk()).toBe(recordEnds.has(length));
      },
    ),
    {seed: 11},
  );
});

function incomingMessage(rawHeaders: string[]) {
  const headers: Record<string, string> = {};
  for (let index = 0; index < rawHeaders.length; index += 2) {
    headers[rawHeaders[index]?.toLowerCase() ?? ''] =
      rawHeaders[index + 1] ?? '';
  }
  return {method: 'POST', url: '/a/b?c', rawHeaders, headers};
}

test('headers that only the gateway sets are not taken from callers', () => {
  const rawHeaders = [
    ['Host', 'Shop.Example:80'],
    ['X-Request-Id', 'r1'],
    ['X-Tenant', 'forged'],
    ['X-Hold', 'forged'],
    ['X-Pin-Ms', '1'],
    ['X-Kv-Backup', 'forged'],
    ['Kv-From', 'forged'],
    ['Kv-Fetch', 'forged'],
    ['X-Expect-Instance', 'forged'],
    ['X-Request-Priority', '0'],
    ['Authorization', 'Bearer secret'],
    ['Connection', 'keep-alive'],
    ['X-Own', 'kept'],
    ['X-Model', 'm'],
    ['X-Token-Counts', '70,20'],
    ['X-Prompt-Prefix', 'a:50,b:20'],
    ['X-Deadline-Ms', '900'],
    ['Last-Event-Id', '4'],
  ].flat();
  const request = protocol.readRequest(incomingMessage(rawHeaders) as never);
  const sent = protocol.writeRequest(request, {
    upstream: 'i-1',
    remainingMs: 800,
    workspace: 'shop-one',
    tier: 12,
    lastEvent: '4',
  });
  expect(request).toMatchSnapshot();
  expect(sent).toMatchSnapshot();
  expect(sent.join()).not.toContain('forged');
  expect(sent.join()).not.toContain('secret');
});

test('a new bundle replaces the old file instead of overwriting it', () => {
  const path = join('target', 'gypsumcourse.js');
  const buildBundle = () => {
    execFileSync(process.execPath, [join('scripts', 'bundle.mjs')]);
    return statSync(path);
  };
  const {ino} = buildBundle();
  // A process that is starting must be able to read the old file to its end.
  const reader = openSync(path, 'r');
  expect(buildBundle().ino).not.toBe(ino);
  closeSync(reader);
});

/** Settings of a process whose store doesn't listen. */
const SETTINGS = JSON.stringify({
  nodeName: 'entry-1',
  ip: '127.0.0.1',
  zone: 'zone-a',
  zones: {'zone-a': 'region-a'},
  listen: {front: '127.0.0.1:0', ready: '127.0.0.1:0'},
  bounds: {graceS: 5, retryBudgetRatio: 0.2, budgetWindowS: 10},
  platform: {address: '127.0.0.1:1'},
  internalPorts: [0, 0],
});

/** The file that the deploy file starts. */
const [, PROGRAM = ''] =
  /^run = "node .*?(\S+)"$/m.exec(
    readFileSync(join('deploy', 'system.toml'), 'utf8'),
  ) ?? [];

/** Starts the program; `prepare` writes its settings file. */
function startProgram(
  prepare: (settings: string) => void,
  install: (folder: string) => string = () => PROGRAM,
) {
  execFileSync(process.execPath, [join('scripts', 'bundle.mjs')]);
  const folder = mkdtempSync(join(tmpdir(), 'gypsumcourse-'));
  const settings = join(folder, 'settings.json');
  prepare(settings);
  const child = spawn(process.execPath, [install(folder)], {
    env: {...process.env, GYPSUMCOURSE_BOOT: settings},
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const ended = once(child, 'exit');
  onTestFinished(() => {
    child.kill('SIGKILL');
    rmSync(folder, {recursive: true});
  });
  let output = '';
  child.stdout.on('data', (chunk: Buffer) => (output += chunk.toString()));
  const untilLogged = (event: string) =>
    vi.waitFor(() => expect(output).toContain(`"event":"${event}"`), 5_000);
  return {child, ended, folder, settings, untilLogged, output: () => output};
}

/** Starts the program and sends it a signal while it reads its settings. */
async function signalAtStart(signal: NodeJS.Signals) {
  const program = startProgram(path => execFileSync('mkfifo', [path]));
  const {settings, child} = program;
  // Opened once the process opens it.
  const pipe = await open(settings, 'w');
  child.kill(signal);
  writeFileSync(`${settings}.next`, SETTINGS);
  renameSync(`${settings}.next`, settings);
  await pipe.writeFile(SETTINGS);
  await pipe.close();
  return program;
}

// Review: SIGHUP in the first 0.3 s ended a process.
test('SIGHUP while a process starts reloads its settings', async () => {
  const {untilLogged} = await signalAtStart('SIGHUP');
  await untilLogged('started');
  await untilLogged('reloaded');
});

test('SIGTERM while a process starts stops it in order', async () => {
  const {ended} = await signalAtStart('SIGTERM');
  expect(await ended).toEqual([0, null]);
});

test('a second SIGTERM does not cut a drain short', async () => {
  const {child, ended, untilLogged, output} = startProgram(path =>
    writeFileSync(path, SETTINGS),
  );
  await untilLogged('started');
  child.kill('SIGTERM');
  await untilLogged('stopping');
  child.kill('SIGTERM');
  // The exit status, and the signal that ended the process, if any.
  expect(await ended).toEqual([0, null]);
  expect(output().split('"event":"stopping"')).toHaveLength(2);
});

const BUNDLE = join('target', 'gypsumcourse.js');

/** Installs the program in `folder` with a pipe in place of its bundle. */
function installSlowly(folder: string): string {
  mkdirSync(join(folder, 'target'));
  writeFileSync(join(folder, 'package.json'), '{"type": "module"}');
  cpSync(PROGRAM, join(folder, PROGRAM));
  rmSync(join(folder, BUNDLE), {force: true});
  execFileSync('mkfifo', [join(folder, BUNDLE)]);
  return join(folder, PROGRAM);
}

/** Starts the program and sends it a signal while it waits for its bundle. */
async function signalInLoading(signal: NodeJS.Signals, bundle: () => string) {
  const program = startProgram(
    path => writeFileSync(path, SETTINGS),
    installSlowly,
  );
  // Opened once the process opens it.
  const pipe = await open(join(program.folder, BUNDLE), 'w');
  program.child.kill(signal);
  // Nobody reads on if the signal has ended the process.
  await pipe.writeFile(bundle()).catch(() => undefined);
  await pipe.close();
  return program;
}

// It ended each process that was started just before its settings changed.
test('SIGHUP while the bundle is loaded does not end a process', async () => {
  const {child, untilLogged} = await signalInLoading('SIGHUP', () =>
    readFileSync(BUNDLE, 'utf8'),
  );
  await untilLogged('started');
  expect([child.exitCode, child.signalCode]).toEqual([null, null]);
});

test('SIGTERM while the bundle is loaded ends a process in order', async () => {
  const program = 'setInterval(() => {}, 1_000);';
  const {ended} = await signalInLoading('SIGTERM', () => program);
  expect(await ended).toEqual([0, null]);
});
