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

const reply = (change: Partial<Reply> = {}): Reply => ({
  status: 200,
  id: 'r-1',
  outcome: 'completed',
  text: 'one two',
  ended: true,
  totalMs: 10,
  tokens: 2,
  ...change,
});

const operation = (change: Partial<Operation> = {}): Operation => ({
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
  reply: reply(),
  gaveUp: false,
  ...change,
});

const order = (change: Partial<Operation> = {}): Operation =>
  operation({
    kind: OperationKind.Order,
    key: 'k',
    reply: reply({text: '{"digest":"d"}'}),
    ...change,
  });

const run = (change: Partial<Execution> = {}): Execution => ({
  upstream: 'stock-1',
  id: 'r-1',
  key: 'k',
  digest: 'd',
  startedAt: 1_050,
  ...change,
});

const fault = (change: Partial<Fault>): Fault => ({
  kind: FaultKind.KillRouter,
  target: 'router-1',
  from: 0,
  to: 0,
  ...change,
});

const found = (history: Partial<History>) =>
  checkAll({...emptyHistory(), ...history}).map(
    ({promise, message}) => `${promise}: ${message}`,
  );

const notRun = reply({status: 503, outcome: 'not_run', text: '', ended: false});

describe('the checkers', () => {
  it('find nothing where every promise was kept', () => {
    const refused = order({
      reply: {...notRun, id: 'r-0'},
      sentAt: 900,
      endedAt: 950,
    });
    const history = {
      operations: [operation(), order(), refused],
      executions: [run()],
      publications: [{version: 1, base: 0, at: 0}],
      sightings: [{router: 'router-1', process: 0, version: 1, at: 9_000}],
      shutdowns: [
        {router: 'router-1', process: 0, askedAt: 0, endedAt: 1, code: 0},
      ],
    };
    expect(found(history)).toEqual([]);
  });

  it('find a higher tier shed while a lower one waited', () => {
    const shed = reply({outcome: 'not_run', error: 'overloaded', id: 's'});
    const operations = [
      operation({tier: 3, sentAt: 500, endedAt: 3_000}),
      operation({tier: 0, reply: shed}),
    ];
    const executions = [run({startedAt: 2_000})];
    expect(found({operations, executions})).toEqual([
      'tiers: tier 0 shed, tier 3 kept',
    ]);
  });

  it('find a class that is never served, or not after the faults', () => {
    const calls = Array.from({length: 5}, () => operation({reply: notRun}));
    const faults = [fault({to: 500})];
    expect(found({operations: calls})).toContain(
      'served: class chat never served',
    );
    const early = operation({sentAt: 100});
    expect(found({operations: [early, ...calls], faults})).toEqual([
      'served: class chat not served after the faults',
    ]);
  });

  it('find answers cut short, joined, or of another request', () => {
    const cases = [
      operation({reply: reply({text: 'one'})}),
      operation({reply: reply({ended: false})}),
      operation({reply: reply({text: 'one one', outcome: 'failed'})}),
      order({reply: reply({text: '{"digest":"e"}'})}),
    ];
    expect(found({operations: cases})).toEqual([
      'answers: not the whole answer',
      'answers: completed without an end',
      'answers: wrong answer',
      'answers: answer to another call',
    ]);
  });

  it('find what ran although told as not run', () => {
    const message = 'not_run: told as not run, and ran';
    const plain = {operations: [operation({reply: notRun})]};
    expect(found({...plain, executions: [run({id: 'r-1'})]})).toEqual([
      message,
    ]);
    const keyed = [
      order({sentAt: 800, endedAt: 900, gaveUp: true, reply: undefined}),
      order({prior: 1, reply: reply({...notRun, id: 'r-2'})}),
    ];
    const late = [run({id: 'r-0', startedAt: 5_000})];
    expect(found({operations: keyed, executions: late})).toEqual([message]);
  });

  it('let a call made after "not run" run', () => {
    const operations = [
      order({reply: notRun}),
      order({
        sentAt: 2_000,
        endedAt: 2_100,
        reply: reply({id: 'r-2', text: '{"digest":"d"}'}),
      }),
    ];
    const executions = [run({id: 'r-2', startedAt: 2_050})];
    expect(found({operations, executions})).toEqual([]);
  });

  it('find what is not repeatable run twice', () => {
    const executions = [run(), run({upstream: 'stock-2', id: 'r-2'})];
    expect(found({operations: [order()], executions})).toEqual([
      'once: ran 2 times',
    ]);
    const unkeyed = order({kind: OperationKind.UnkeyedOrder, key: undefined});
    const plain = executions.map(({key: _key, ...rest}) => rest);
    expect(found({operations: [unkeyed], executions: plain})).toEqual([
      'once: ran 2 times',
    ]);
  });

  it('find new work at an upstream that leaves', () => {
    const leaving = fault({
      kind: FaultKind.LeavingUpstream,
      target: 'stock-1',
      from: 0,
      to: 9_000,
    });
    const executions = [run({startedAt: 2_900}), run({startedAt: 3_100})];
    expect(found({faults: [leaving], executions})).toEqual([
      'leaving: stock-1 got 1 requests while leaving',
    ]);
  });

  it('find requests cut off by a shutdown, and a bad exit', () => {
    const shutdowns = [
      {router: 'router-1', process: 0, askedAt: 2_000, endedAt: 3_000, code: 1},
    ];
    const cut = operation({endedAt: 2_500, reply: undefined, lost: 'reset'});
    expect(found({operations: [cut], shutdowns})).toEqual([
      'shutdown: 1 requests cut off',
      'shutdown: exit code 1',
    ]);
  });

  it('find a configuration that is late or goes back', () => {
    const publications = [
      {version: 1, base: 0, at: 0},
      {version: 2, base: 1, at: 1_000},
      {version: 3, base: 1, at: 1_000},
    ];
    const sight = (version: number, at: number) => ({
      router: 'router-1',
      process: 0,
      version,
      at,
    });
    expect(found({publications, sightings: [sight(1, 7_500)]})).toEqual([
      'configuration: router-1 is late with 2',
    ]);
    const back = [sight(2, 5_000), sight(1, 5_200)];
    expect(found({publications, sightings: back})).toEqual([
      'configuration: router-1 went back to an older version',
    ]);
  });
});
