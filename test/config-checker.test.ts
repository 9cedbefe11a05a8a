import {describe, expect, it} from 'vitest';
import {checkPublishing} from '../bench/checker/publishing.js';
import {
  emptyHistory,
  SubmissionOutcome,
  type History,
} from '../bench/history.js';

const records = [
  {offset: 0, id: 'first', base: 0},
  {offset: 1, id: 'ada', base: 1},
  {offset: 2, id: 'bo', base: 1},
  {offset: 4, id: 'ada', base: 1},
];

const messages = (change: Partial<History>) =>
  checkPublishing({...emptyHistory(), records, ...change}).map(
    ({message}) => message,
  );

const told = (id: string, what: SubmissionOutcome, version?: number) => ({
  submissions: [{id, told: what, ...(version === undefined ? {} : {version})}],
});

const sighted = (version: number) => ({
  sightings: [{router: 'router-1', process: 0, version, at: 1}],
});

describe('the checker of publishing', () => {
  it('passes what the order of the log decided', () => {
    expect(messages(told('ada', SubmissionOutcome.Accepted, 2))).toEqual([]);
    expect(messages(told('bo', SubmissionOutcome.Refused))).toEqual([]);
    expect(messages(told('cy', SubmissionOutcome.NotSent))).toEqual([]);
    expect(messages(sighted(2))).toEqual([]);
  });

  it('finds planted violations', () => {
    const found = [
      told('bo', SubmissionOutcome.Accepted, 3),
      told('ada', SubmissionOutcome.Accepted, 5),
      told('ada', SubmissionOutcome.Refused),
      told('bo', SubmissionOutcome.NotSent),
      sighted(3),
    ].flatMap(messages);
    expect(found).toMatchInlineSnapshot(`
      [
        "submission bo was told accepted and is not",
        "submission ada was told accepted and is not",
        "submission ada was told refused and is in force",
        "submission bo was told not sent and is in the log",
        "router-1 had a version that was never accepted",
      ]
    `);
  });
});
