import {describe, expect, it} from 'vitest';
import {explain, findDisagreements} from '../src/report/index.js';
import type {InstanceView} from '../src/report/index.js';
import {ShedReason, type Decision} from '../src/telemetry/index.js';

const START = Date.UTC(2026, 0, 5, 6, 0);

const told = (...decisions: Decision[]) =>
  explain({
    request: 'r',
    dropped: 0,
    entries: decisions.map((decision, n) => ({at: START + n * 40, decision})),
  });

const arrived: Decision = {
  type: 'arrived',
  class: 'operator-chat',
  tier: 1,
  workspace: 'glue-lab',
};

describe('an explanation', () => {
  it('tells every kind of decision in a plain sentence', () => {
    const weighed = ['runner-1', 'runner-2'].map((name, n) => ({
      name,
      zone: 'delta-1',
      expectedMs: 120 + n,
      cachedTokens: 64 * n,
      inflight: n,
    }));
    const upstream = 'runner-2';
    expect(
      told(
        arrived,
        {type: 'queued', ahead: 3, depth: 9},
        {type: 'placed', upstream, waitedMs: 35, weighed, crossesLink: 'a-b'},
        {type: 'claimed', key: 'k', offset: 7, waitedMs: 4},
        {type: 'claimLost', key: 'k', holder: 'router-2'},
        {type: 'attempted', upstream, result: 'broken', ms: 80},
        {type: 'retried', reason: 'upstreamLost', delayMs: 50},
        {type: 'resumed', upstream: 'runner-1', offset: 12},
        {type: 'preempted', upstream, inFavourOf: 'tier 0'},
        {type: 'ended', outcome: 'completed', ms: 400},
      ),
    ).toMatchInlineSnapshot(`
      [
        "2026-01-05T06:00:00.000Z: It arrived from workspace "glue-lab" in class "operator-chat" of tier 1.",
        "after 40 ms: It was queued behind 3 of 9 waiting requests.",
        "after 80 ms: It was placed on upstream "runner-2" after a wait of 35 ms, over the paid link a-b. Weighed were "runner-1" in delta-1 (first token expected in 120 ms, 0 prompt tokens cached, 0 running); "runner-2" in delta-1 (first token expected in 121 ms, 64 prompt tokens cached, 1 running).",
        "after 120 ms: Its idempotency key was claimed on the log at offset 7, which took 4.0 ms.",
        "after 160 ms: Its idempotency key was already claimed by "router-2".",
        "after 200 ms: The attempt on upstream "runner-2" ended after 80 ms: broken.",
        "after 240 ms: It was to be tried again after 50 ms, because of: upstreamLost.",
        "after 280 ms: Its answer was resumed on upstream "runner-1" from token 12.",
        "after 320 ms: It was preempted on upstream "runner-2" in favour of tier 0.",
        "after 360 ms: It ended as completed (the caller got the whole answer) after 400 ms.",
      ]
    `);
  });

  it('gives the reason of each kind of shedding', () => {
    const reasons = Object.values(ShedReason).map(
      reason => told({type: 'shed', reason})[0]?.split('because ')[1],
    );
    expect(reasons).toMatchInlineSnapshot(`
      [
        "the queue of its class was full.",
        "its target could no longer be met.",
        "the limit of its class was reached.",
        "the limit of its workspace was reached.",
        "no upstream took work.",
        "its deadline passed while it waited.",
        "the instance was shutting down.",
      ]
    `);
  });

  it('says when decisions were dropped', () => {
    const entries = [{at: START, decision: arrived}];
    const sentences = explain({request: 'r', dropped: 4, entries});
    expect(sentences[0]).toBe('4 decisions in between were not kept.');
  });
});

describe('disagreements', () => {
  const view = (
    instance: string,
    configurationVersion: number,
    takesWork: boolean,
  ): InstanceView => ({
    instance,
    incarnation: 1,
    zone: 'z',
    configurationVersion,
    members: [],
    upstreams: [{name: 'u', pool: 'p', zone: 'z', inflight: 0, takesWork}],
    leases: [],
    log: {reachable: true, answerMs: 1},
    backlog: {unsent: 0, dropped: 0},
    queued: 0,
    running: 0,
    memoryBytes: 0,
  });

  it('are found between views, and not where views agree', () => {
    expect(findDisagreements([view('a', 4, true), view('b', 4, true)])).toEqual(
      [],
    );
    expect(findDisagreements([view('a', 4, true), view('b', 5, false)]))
      .toMatchInlineSnapshot(`
      [
        "configuration version in force: 4 (a); 5 (b)",
        "upstream u: takes work (a); takes no work (b)",
      ]
    `);
  });
});
