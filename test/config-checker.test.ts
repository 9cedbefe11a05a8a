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

const violationMessages = (change: Partial<History>) =>
  checkPublishing({...emptyHistory(), records, ...change}).map(
    ({message}) => message,
  );

const submissionTold = (
  id: string,
  what: SubmissionOutcome,
  version?: number,
) => ({
  submissions: [{id, told: what, ...(version === undefined ? {} : {version})}],
});

const sightingOf = (version: number) => ({
  sightings: [{router: 'router-1', process: 0, version, at: 1}],
});

describe('publication checker', () => {
  it('accepts results that match the order of the log', () => {
    expect(
      violationMessages(submissionTold('ada', SubmissionOutcome.Accepted, 2)),
    ).toEqual([]);
    expect(
      violationMessages(submissionTold('bo', SubmissionOutcome.Refused)),
    ).toEqual([]);
    expect(
      violationMessages(submissionTold('cy', SubmissionOutcome.NotSent)),
    ).toEqual([]);
    expect(violationMessages(sightingOf(2))).toEqual([]);
  });

  it('reports results and versions that contradict the log', () => {
    const found = [
      submissionTold('bo', SubmissionOutcome.Accepted, 3),
      submissionTold('ada', SubmissionOutcome.Accepted, 5),
      submissionTold('ada', SubmissionOutcome.Refused),
      submissionTold('bo', SubmissionOutcome.NotSent),
      sightingOf(3),
    ].flatMap(violationMessages);
    expect(found).toMatchInlineSnapshot(`
      [
        "submission bo was reported as accepted, but is not",
        "submission ada was reported as accepted, but is not",
        "submission ada was reported as refused, but was accepted",
        "submission bo was reported as not sent, but is in the log",
        "router-1 had a version that was never accepted",
      ]
    `);
  });
});
