import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  applyChanges,
  CHECKPOINT_STREAM,
  CONFIGURATION_STREAM,
  diff,
  ConfigurationFollower,
  ConfigurationStateMachine,
  noPeers,
  publish,
  CheckpointWriter,
  type ConfigurationPeers,
  type Submission,
} from '../src/config/index.js';
import {Level, openStderrLogger} from '../src/telemetry/index.js';
import {ManualTimer} from '../src/timer/index.js';
import {documentOf, workspaceOf} from './support/documents.js';
import {AppendLoss, MemoryLog} from './support/memorylog.js';

const SEED = 61;
const MINUTE_MS = 60_000;
const logger = openStderrLogger(Level.Silent);

const whole = (base: number, number: number): Submission => ({
  type: 'submission',
  id: `submission-${base}-${number}`,
  base,
  document: documentOf(number),
});

const setUp = () => {
  const timer = new ManualTimer();
  const log = new MemoryLog(timer);
  return {timer, log};
};

const follow = (
  timer: ManualTimer,
  log: MemoryLog,
  peers: Partial<ConfigurationPeers> = {},
) => {
  const all = {...noPeers, ...peers};
  const follower = new ConfigurationFollower(
    log,
    timer,
    logger,
    all,
    () => 0.5,
  );
  follower.start();
  return follower;
};

/** Advances time until the promise settles. */
const settle = async <T>(timer: ManualTimer, promise: Promise<T>) => {
  let done = false;
  void promise.then(() => (done = true));
  for (let step = 0; step < 2_000 && !done; step++) await timer.advance(20);
  return promise;
};

const versionOf = (follower: ConfigurationFollower) =>
  follower.current()?.version;

describe('steps between documents', () => {
  const item = fc.record({
    name: fc.constantFrom('a', 'b', 'c', 'd'),
    weight: fc.integer({min: 0, max: 3}),
  });
  const document = fc.record(
    {
      format: fc.integer(),
      items: fc.uniqueArray(item, {selector: ({name}) => name}),
      nested: fc.dictionary(fc.constantFrom('x', 'y'), fc.array(fc.nat(3))),
    },
    {requiredKeys: ['format']},
  );

  it('lead from any document to any other', () => {
    fc.assert(
      fc.property(document, document, (before, after) => {
        const result = applyChanges(before, diff(before, after));
        expect(result._unsafeUnwrap()).toEqual(after);
      }),
      {seed: SEED},
    );
  });

  it('name one workspace among ten thousand in few bytes', () => {
    const before = {
      ...documentOf(1),
      workspaces: Array.from({length: 10_000}, (_, i) => workspaceOf(i)),
    };
    const after = structuredClone(before);
    Object.assign(after.workspaces[5_000] as object, {weight: 2});
    expect(diff(before, after)).toMatchInlineSnapshot(`
      [
        {
          "path": [
            "workspaces",
            "workspace-5000",
            "weight",
          ],
          "value": 2,
        },
      ]
    `);
  });

  it('that lead through nothing are refused', () => {
    const changes = [{path: ['pools', 'none', 'leaving'], value: []}];
    const result = applyChanges(documentOf(1), changes);
    expect(result._unsafeUnwrapErr()).toEqual({
      type: 'unknownPath',
      path: ['pools', 'none'],
    });
  });
});

describe('ledgers', () => {
  it('agree wherever they start', () => {
    const base = fc.nat(8);
    fc.assert(
      fc.property(fc.array(base), fc.nat(8), (bases, start) => {
        const records = bases.map((value, index) => whole(value, index));
        const first = new ConfigurationStateMachine();
        const second = new ConfigurationStateMachine();
        records.forEach((record, offset) => {
          const verdict = first.submit(offset, record);
          if (offset < start) {
            const current = first.current();
            if (current !== undefined) second.install(current);
          } else {
            expect(second.submit(offset, record)).toEqual(verdict);
          }
        });
        expect(second.current()).toEqual(first.current());
      }),
      {seed: SEED},
    );
  });

  it('accept a submission that stands in the log twice once', () => {
    const ledger = new ConfigurationStateMachine();
    expect(ledger.submit(0, whole(0, 1)).type).toBe('accepted');
    expect(ledger.submit(1, whole(0, 1)).type).toBe('conflict');
    expect(ledger.version).toBe(1);
  });
});

describe('publishing', () => {
  const prepared = async () => {
    const {timer, log} = setUp();
    const follower = follow(timer, log);
    await timer.advance(1_000);
    const parts = {log, follower, timer};
    await settle(timer, publish({base: 0, document: documentOf(1)}, parts));
    const submit = (document: unknown, base = 1, author = 'ada') =>
      settle(timer, publish({base, document, author}, parts, {id: author}));
    return {timer, log, follower, submit};
  };

  it('tells the second of two operators what the first changed', async () => {
    const {follower, submit} = await prepared();
    const results = await Promise.all([
      submit(documentOf(2), 1, 'ada'),
      submit(documentOf(3), 1, 'bo'),
    ]);
    expect(versionOf(follower)).toBe(2);
    expect(results[1]._unsafeUnwrapErr()).toMatchInlineSnapshot(`
      {
        "base": 1,
        "changed": [
          {
            "author": "ada",
            "base": 1,
            "changes": [
              {
                "path": [
                  "name",
                ],
                "value": "document-2",
              },
            ],
            "version": 2,
          },
        ],
        "current": 2,
        "id": "bo",
        "type": "conflict",
      }
    `);
  });

  it('finds a submission whose answer was lost, and appends it once', async () => {
    const {log, submit} = await prepared();
    log.appendLosses = [AppendLoss.ResponseOnly];
    const result = await submit(documentOf(2));
    expect(result._unsafeUnwrap()).toMatchObject({version: 2});
    expect(log.records(CONFIGURATION_STREAM)).toHaveLength(2);
  });

  it('repeats an append that had no effect', async () => {
    const {log, submit} = await prepared();
    log.appendLosses = [AppendLoss.RecordAndResponse];
    const result = await submit(documentOf(2));
    expect(result._unsafeUnwrap()).toMatchObject({version: 2});
    expect(log.records(CONFIGURATION_STREAM)).toHaveLength(2);
  });

  it('learns the verdict on an earlier try by its id', async () => {
    const {log, submit} = await prepared();
    await submit(documentOf(2));
    const again = await submit(documentOf(2));
    expect(again._unsafeUnwrap()).toMatchObject({version: 2});
    expect(log.records(CONFIGURATION_STREAM)).toHaveLength(2);
  });

  it('says that nothing was sent when the log is out', async () => {
    const {log, submit} = await prepared();
    log.down = true;
    const result = await submit(documentOf(2));
    expect(result._unsafeUnwrapErr()).toEqual({
      type: 'verdictTimeout',
      id: 'ada',
      sent: false,
    });
  });

  it('refuses an invalid document with every problem', async () => {
    const {log, submit} = await prepared();
    const result = await submit({...documentOf(2), zones: [], classes: []});
    expect(result._unsafeUnwrapErr()).toMatchObject({
      type: 'invalid',
      problems: [{path: 'zones'}, {path: 'classes'}],
    });
    expect(log.records(CONFIGURATION_STREAM)).toHaveLength(1);
  });
});

describe('a configuration in force', () => {
  it('does not revert when the log answers from a stale replica', async () => {
    const {timer, log} = setUp();
    await log.append(CONFIGURATION_STREAM, whole(0, 1));
    await log.append(CONFIGURATION_STREAM, whole(1, 2));
    const follower = follow(timer, log);
    await timer.advance(1_000);
    log.hiddenCount = 1;
    await timer.advance(MINUTE_MS);
    expect(versionOf(follower)).toBe(2);
  });

  it('is not taken from a stale replica that a peer is ahead of', async () => {
    const {timer, log} = setUp();
    await log.append(CONFIGURATION_STREAM, whole(0, 1));
    await log.append(CONFIGURATION_STREAM, whole(1, 2));
    log.hiddenCount = 1;
    const follower = follow(timer, log, {newestVersion: () => 2});
    await timer.advance(5_000);
    expect(versionOf(follower)).toBeUndefined();
    log.hiddenCount = 0;
    await timer.advance(10_000);
    expect(versionOf(follower)).toBe(2);
  });

  it('comes from a peer while the log is out, and from nowhere else', async () => {
    const {timer, log} = setUp();
    log.down = true;
    const alone = follow(timer, log);
    const ledger = new ConfigurationStateMachine();
    ledger.submit(6, whole(0, 1));
    const document = ledger.current()?.document;
    if (document === undefined) return expect.unreachable();
    const joining = follow(timer, log, {
      fetch: () =>
        Promise.resolve({
          answered: 1,
          newer: {version: 7, upTo: 9, document},
        }),
    });
    await timer.advance(5_000);
    expect([versionOf(alone), versionOf(joining)]).toEqual([undefined, 7]);
  });

  it('survives the retention of the log by a checkpoint', async () => {
    const {timer, log} = setUp();
    await log.append(CONFIGURATION_STREAM, whole(0, 1));
    const before = follow(timer, log);
    const renewals = [0, 1, 2].map(rank => {
      const peers = {...noPeers, rank: () => rank};
      const follower = rank === 0 ? before : follow(timer, log, peers);
      const renewal = new CheckpointWriter({
        log,
        follower,
        peers,
        timer,
        logger,
        retentionMs: 60 * MINUTE_MS,
      });
      renewal.start();
      return renewal;
    });
    await timer.advance(2 * MINUTE_MS);
    expect(log.records(CHECKPOINT_STREAM)).toHaveLength(1);
    log.expire(CONFIGURATION_STREAM, 1);
    const after = follow(timer, log);
    await timer.advance(1_000);
    expect(after.current()).toEqual(before.current());
    log.expire(CHECKPOINT_STREAM, 0);
    const late = follow(timer, log);
    await timer.advance(1_000);
    expect(versionOf(late)).toBeUndefined();
    await timer.advance(15 * MINUTE_MS);
    expect(versionOf(late)).toBe(1);
    await Promise.all(renewals.map(renewal => settle(timer, renewal.stop())));
  });

  it('reaches an instance that does not wait at the log by a wake-up', async () => {
    const {timer, log} = setUp();
    await log.append(CONFIGURATION_STREAM, whole(0, 1));
    const peers = {rank: () => 20, size: () => 340};
    const follower = follow(timer, log, peers);
    await timer.advance(5_000);
    log.reads = 0;
    await log.append(CONFIGURATION_STREAM, whole(1, 2));
    await timer.advance(2_000);
    expect([versionOf(follower), log.reads]).toEqual([1, 0]);
    void follower.catchUpTo(2);
    await timer.advance(1_100);
    expect([versionOf(follower), log.reads]).toEqual([2, 1]);
  });

  it('costs the log few reads over an outage of an hour', async () => {
    const {timer, log} = setUp();
    await log.append(CONFIGURATION_STREAM, whole(0, 1));
    follow(timer, log);
    await timer.advance(1_000);
    log.down = true;
    log.reads = 0;
    await timer.advance(60 * MINUTE_MS);
    expect(log.reads).toBeLessThan(300);
    log.down = false;
    await log.append(CONFIGURATION_STREAM, whole(1, 2));
    await timer.advance(25_000);
    expect(log.reads).toBeLessThan(330);
  });
});
