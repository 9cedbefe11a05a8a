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

const documentSubmission = (base: number, number: number): Submission => ({
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
  const allPeers = {...noPeers, ...peers};
  const follower = new ConfigurationFollower(
    log,
    timer,
    logger,
    allPeers,
    () => 0.5,
  );
  follower.start();
  return follower;
};

/** Advances time until the promise settles, by 40 s at most. */
const advanceUntilSettled = async <T>(
  timer: ManualTimer,
  promise: Promise<T>,
) => {
  let done = false;
  void promise.then(() => (done = true));
  for (let step = 0; step < 2_000 && !done; step++) await timer.advance(20);
  return promise;
};

const versionOf = (follower: ConfigurationFollower) =>
  follower.current()?.version;

describe('changes between documents', () => {
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

  it('turn any document into any other', () => {
    fc.assert(
      fc.property(document, document, (before, after) => {
        const result = applyChanges(before, diff(before, after));
        expect(result._unsafeUnwrap()).toEqual(after);
      }),
      {seed: SEED},
    );
  });

  it('address one of ten thousand workspaces in few bytes', () => {
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

  it('are refused if their path does not exist', () => {
    const changes = [{path: ['pools', 'none', 'leaving'], value: []}];
    const result = applyChanges(documentOf(1), changes);
    expect(result._unsafeUnwrapErr()).toEqual({
      type: 'unknownPath',
      path: ['pools', 'none'],
    });
  });
});

describe('configuration state machines', () => {
  it('agree on the outcome wherever they start', () => {
    const base = fc.nat(8);
    fc.assert(
      fc.property(fc.array(base), fc.nat(8), (bases, start) => {
        const records = bases.map((value, index) =>
          documentSubmission(value, index),
        );
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

  it('accept a submission once if it was appended twice', () => {
    const ledger = new ConfigurationStateMachine();
    expect(ledger.submit(0, documentSubmission(0, 1)).type).toBe('accepted');
    expect(ledger.submit(1, documentSubmission(0, 1)).type).toBe('conflict');
    expect(ledger.version).toBe(1);
  });
});

describe('publishing', () => {
  const setUpPublishing = async () => {
    const {timer, log} = setUp();
    const follower = follow(timer, log);
    await timer.advance(1_000);
    const parts = {log, follower, timer};
    await advanceUntilSettled(
      timer,
      publish({base: 0, document: documentOf(1)}, parts),
    );
    const submit = (document: unknown, base = 1, author = 'ada') =>
      advanceUntilSettled(
        timer,
        publish({base, document, author}, parts, {id: author}),
      );
    return {timer, log, follower, submit};
  };

  it('returns the changes of the first operator to the second', async () => {
    const {follower, submit} = await setUpPublishing();
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

  it('appends a submission once if the answer to the append is lost', async () => {
    const {log, submit} = await setUpPublishing();
    log.appendLosses = [AppendLoss.ResponseOnly];
    const result = await submit(documentOf(2));
    expect(result._unsafeUnwrap()).toMatchObject({version: 2});
    expect(log.records(CONFIGURATION_STREAM)).toHaveLength(2);
  });

  it('repeats an append that did not take effect', async () => {
    const {log, submit} = await setUpPublishing();
    log.appendLosses = [AppendLoss.RecordAndResponse];
    const result = await submit(documentOf(2));
    expect(result._unsafeUnwrap()).toMatchObject({version: 2});
    expect(log.records(CONFIGURATION_STREAM)).toHaveLength(2);
  });

  it('returns the verdict of an earlier attempt with the same id', async () => {
    const {log, submit} = await setUpPublishing();
    await submit(documentOf(2));
    const again = await submit(documentOf(2));
    expect(again._unsafeUnwrap()).toMatchObject({version: 2});
    expect(log.records(CONFIGURATION_STREAM)).toHaveLength(2);
  });

  it('reports that nothing was sent if the log is unavailable', async () => {
    const {log, submit} = await setUpPublishing();
    log.down = true;
    const result = await submit(documentOf(2));
    expect(result._unsafeUnwrapErr()).toEqual({
      type: 'verdictTimeout',
      id: 'ada',
      sent: false,
    });
  });

  it('refuses an invalid document and lists every problem', async () => {
    const {log, submit} = await setUpPublishing();
    const result = await submit({...documentOf(2), zones: [], classes: []});
    expect(result._unsafeUnwrapErr()).toMatchObject({
      type: 'invalid',
      problems: [{path: 'zones'}, {path: 'classes'}],
    });
    expect(log.records(CONFIGURATION_STREAM)).toHaveLength(1);
  });
});

describe('a configuration in force', () => {
  it('does not revert if the log answers from a stale replica', async () => {
    const {timer, log} = setUp();
    await log.append(CONFIGURATION_STREAM, documentSubmission(0, 1));
    await log.append(CONFIGURATION_STREAM, documentSubmission(1, 2));
    const follower = follow(timer, log);
    await timer.advance(1_000);
    log.hiddenCount = 1;
    await timer.advance(MINUTE_MS);
    expect(versionOf(follower)).toBe(2);
  });

  it('is not taken from a log replica that is behind a peer', async () => {
    const {timer, log} = setUp();
    await log.append(CONFIGURATION_STREAM, documentSubmission(0, 1));
    await log.append(CONFIGURATION_STREAM, documentSubmission(1, 2));
    log.hiddenCount = 1;
    const follower = follow(timer, log, {newestVersion: () => 2});
    await timer.advance(5_000);
    expect(versionOf(follower)).toBeUndefined();
    log.hiddenCount = 0;
    await timer.advance(10_000);
    expect(versionOf(follower)).toBe(2);
  });

  it('comes only from a peer while the log is unavailable', async () => {
    const {timer, log} = setUp();
    log.down = true;
    const alone = follow(timer, log);
    const ledger = new ConfigurationStateMachine();
    ledger.submit(6, documentSubmission(0, 1));
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

  it('has the revisions before a checkpoint for a reader that wants them', async () => {
    const {timer, log} = setUp();
    await log.append(CONFIGURATION_STREAM, documentSubmission(0, 1));
    await log.append(CONFIGURATION_STREAM, documentSubmission(1, 2));
    const writing = follow(timer, log);
    await timer.advance(1_000);
    const upTo = writing.lastReadOffset;
    await log.append(CHECKPOINT_STREAM, {upTo, ...writing.current()});
    const marker = {type: 'checkpoint', upTo, version: versionOf(writing)};
    await log.append(CONFIGURATION_STREAM, marker);
    const reading = new ConfigurationFollower(log, timer, logger);
    reading.start(1);
    await timer.advance(1_000);
    const versions = () =>
      reading.revisionsSince(1)?.map(revision => revision.version);
    expect([versionOf(reading), versions()]).toEqual([2, [2]]);
    const other = follow(timer, log);
    await timer.advance(1_000);
    expect(other.revisionsSince(1)).toBeUndefined();
    // Without the submissions, the checkpoint still serves the document.
    log.expire(CONFIGURATION_STREAM, 1);
    const late = new ConfigurationFollower(log, timer, logger);
    late.start(1);
    await timer.advance(1_000);
    expect([versionOf(late), late.revisionsSince(1)]).toEqual([2, undefined]);
  });

  it('is restored from a checkpoint after the log drops its submission', async () => {
    const {timer, log} = setUp();
    await log.append(CONFIGURATION_STREAM, documentSubmission(0, 1));
    const before = follow(timer, log);
    const writers = [0, 1, 2].map(rank => {
      const peers = {...noPeers, rank: () => rank};
      const follower = rank === 0 ? before : follow(timer, log, peers);
      const writer = new CheckpointWriter({
        log,
        follower,
        peers,
        timer,
        logger,
        retentionMs: 60 * MINUTE_MS,
      });
      writer.start();
      return writer;
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
    await Promise.all(
      writers.map(writer => advanceUntilSettled(timer, writer.stop())),
    );
  });

  it('reaches an instance without long polling through catchUpTo', async () => {
    const {timer, log} = setUp();
    await log.append(CONFIGURATION_STREAM, documentSubmission(0, 1));
    const peers = {rank: () => 20, size: () => 340};
    const follower = follow(timer, log, peers);
    await timer.advance(5_000);
    log.reads = 0;
    await log.append(CONFIGURATION_STREAM, documentSubmission(1, 2));
    await timer.advance(2_000);
    expect([versionOf(follower), log.reads]).toEqual([1, 0]);
    void follower.catchUpTo(2);
    await timer.advance(1_100);
    expect([versionOf(follower), log.reads]).toEqual([2, 1]);
  });

  it('causes few reads of the log during an outage of an hour', async () => {
    const {timer, log} = setUp();
    await log.append(CONFIGURATION_STREAM, documentSubmission(0, 1));
    follow(timer, log);
    await timer.advance(1_000);
    log.down = true;
    log.reads = 0;
    await timer.advance(60 * MINUTE_MS);
    expect(log.reads).toBeLessThan(300);
    log.down = false;
    await log.append(CONFIGURATION_STREAM, documentSubmission(1, 2));
    await timer.advance(25_000);
    expect(log.reads).toBeLessThan(330);
  });
});
