import {describe, expect, it} from 'vitest';
import type {Reply} from '../bench/caller.js';
import {checkAll} from '../bench/checker/index.js';
import {
  emptyHistory,
  FaultKind,
  OperationKind,
  type Execution,
  type Fault,
  type History,
  type Operation,
} from '../bench/history.js';

const makeReply = (change: Partial<Reply> = {}): Reply => ({
  status: 200,
  id: 'r-1',
  outcome: 'completed',
  text: 'one two',
  ended: true,
  totalMs: 10,
  tokens: 2,
  ...change,
});

const makeOperation = (change: Partial<Operation> = {}): Operation => ({
  kind: OperationKind.Chat,
  class: 'chat',
  tier: 1,
  router: 'router-1',
  process: 0,
  pool: 'runners',
  prior: 0,
  digest: 'd',
  expected: 'one two',
  sentAt: 1_000,
  endedAt: 1_100,
  reply: makeReply(),
  gaveUp: false,
  ...change,
});

const makeOrder = (change: Partial<Operation> = {}): Operation =>
  makeOperation({
    kind: OperationKind.Order,
    key: 'k',
    reply: makeReply({text: '{"digest":"d"}'}),
    ...change,
  });

const makeExecution = (change: Partial<Execution> = {}): Execution => ({
  upstream: 'stock-1',
  id: 'r-1',
  key: 'k',
  digest: 'd',
  startedAt: 1_050,
  ...change,
});

const makeFault = (change: Partial<Fault>): Fault => ({
  kind: FaultKind.KillRouter,
  target: 'router-1',
  from: 0,
  to: 0,
  ...change,
});

const findViolations = (history: Partial<History>) =>
  checkAll({...emptyHistory(), ...history}).map(
    ({guarantee, message}) => `${guarantee}: ${message}`,
  );

const notRunReply = makeReply({
  status: 503,
  outcome: 'not_run',
  text: '',
  ended: false,
});

describe('history checkers', () => {
  it('report nothing if no guarantee was violated', () => {
    const refused = makeOrder({
      reply: {...notRunReply, id: 'r-0'},
      sentAt: 900,
      endedAt: 950,
    });
    const history = {
      operations: [makeOperation(), makeOrder(), refused],
      executions: [makeExecution()],
      publications: [{version: 1, base: 0, at: 0}],
      sightings: [{router: 'router-1', process: 0, version: 1, at: 9_000}],
      shutdowns: [
        {router: 'router-1', process: 0, askedAt: 0, endedAt: 1, code: 0},
      ],
    };
    expect(findViolations(history)).toEqual([]);
  });

  it('report a request shed while one of a lower tier waited', () => {
    const shed = makeReply({outcome: 'not_run', error: 'overloaded', id: 's'});
    const operations = [
      makeOperation({tier: 3, sentAt: 500, endedAt: 3_000}),
      makeOperation({tier: 0, reply: shed}),
    ];
    const executions = [makeExecution({startedAt: 2_000})];
    expect(findViolations({operations, executions})).toEqual([
      'tiers: tier 0 shed, tier 3 served',
    ]);
  });

  it('report a class that is never served, or not after the faults', () => {
    const calls = Array.from({length: 5}, () =>
      makeOperation({reply: notRunReply}),
    );
    const faults = [makeFault({to: 500})];
    expect(findViolations({operations: calls})).toContain(
      'served: class chat never served',
    );
    const early = makeOperation({sentAt: 100});
    expect(findViolations({operations: [early, ...calls], faults})).toEqual([
      'served: class chat not served after the faults',
    ]);
  });

  it('report answers that are incomplete, wrong or of another request', () => {
    const wrongOperations = [
      makeOperation({reply: makeReply({text: 'one'})}),
      makeOperation({reply: makeReply({ended: false})}),
      makeOperation({reply: makeReply({text: 'one one', outcome: 'failed'})}),
      makeOrder({reply: makeReply({text: '{"digest":"e"}'})}),
    ];
    expect(findViolations({operations: wrongOperations})).toEqual([
      'answers: incomplete answer',
      'answers: completed, but the stream did not end',
      'answers: wrong answer',
      'answers: answer to another request',
    ]);
  });

  it('report a request that was executed despite its outcome not_run', () => {
    const message = 'not_run: reported as not run, but was executed';
    const plain = {operations: [makeOperation({reply: notRunReply})]};
    expect(
      findViolations({...plain, executions: [makeExecution({id: 'r-1'})]}),
    ).toEqual([message]);
    const keyed = [
      makeOrder({sentAt: 800, endedAt: 900, gaveUp: true, reply: undefined}),
      makeOrder({prior: 1, reply: makeReply({...notRunReply, id: 'r-2'})}),
    ];
    const late = [makeExecution({id: 'r-0', startedAt: 5_000})];
    expect(findViolations({operations: keyed, executions: late})).toEqual([
      message,
    ]);
  });

  it('allow execution of a call sent after the outcome not_run', () => {
    const operations = [
      makeOrder({reply: notRunReply}),
      makeOrder({
        sentAt: 2_000,
        endedAt: 2_100,
        reply: makeReply({id: 'r-2', text: '{"digest":"d"}'}),
      }),
    ];
    const executions = [makeExecution({id: 'r-2', startedAt: 2_050})];
    expect(findViolations({operations, executions})).toEqual([]);
  });

  it('report a non-repeatable request that was executed twice', () => {
    const executions = [
      makeExecution(),
      makeExecution({upstream: 'stock-2', id: 'r-2'}),
    ];
    expect(findViolations({operations: [makeOrder()], executions})).toEqual([
      'once: executed 2 times',
    ]);
    const unkeyed = makeOrder({
      kind: OperationKind.UnkeyedOrder,
      key: undefined,
    });
    const plain = executions.map(({key: _key, ...rest}) => rest);
    expect(findViolations({operations: [unkeyed], executions: plain})).toEqual([
      'once: executed 2 times',
    ]);
  });

  it('report new requests at an upstream that is leaving', () => {
    const leaving = makeFault({
      kind: FaultKind.LeavingUpstream,
      target: 'stock-1',
      from: 0,
      to: 9_000,
    });
    const executions = [
      makeExecution({startedAt: 2_900}),
      makeExecution({startedAt: 3_100}),
    ];
    expect(findViolations({faults: [leaving], executions})).toEqual([
      'leaving: stock-1 received 1 requests while leaving',
    ]);
  });

  it('report requests interrupted by a shutdown, and a nonzero exit code', () => {
    const shutdowns = [
      {router: 'router-1', process: 0, askedAt: 2_000, endedAt: 3_000, code: 1},
    ];
    const cut = makeOperation({
      endedAt: 2_500,
      reply: undefined,
      lost: 'reset',
    });
    expect(findViolations({operations: [cut], shutdowns})).toEqual([
      'shutdown: 1 requests interrupted',
      'shutdown: exit code 1',
    ]);
  });

  it('report a configuration that is late or rolled back', () => {
    const publications = [
      {version: 1, base: 0, at: 0},
      {version: 2, base: 1, at: 1_000},
      {version: 3, base: 1, at: 1_000},
    ];
    const makeSighting = (version: number, at: number) => ({
      router: 'router-1',
      process: 0,
      version,
      at,
    });
    expect(
      findViolations({publications, sightings: [makeSighting(1, 7_500)]}),
    ).toEqual(['configuration: router-1 is late with version 2']);
    const rolledBack = [makeSighting(2, 5_000), makeSighting(1, 5_200)];
    expect(findViolations({publications, sightings: rolledBack})).toEqual([
      'configuration: router-1 returned to an older version',
    ]);
  });
});
