import {
  SubmissionOutcome,
  type History,
  type LoggedSubmission,
  type Submission,
} from '../history.js';
import {Guarantee, type Violation} from './violation.js';

/**
 * Checks that the result reported to each operator matches the order of the
 * submissions in the log, and that only accepted versions came into force.
 */
export function checkPublishing(history: History): Violation[] {
  const accepted = acceptedRecords(history.records);
  return [
    ...history.submissions.flatMap(item =>
      checkSubmission(item, accepted, history.records),
    ),
    ...findUnacceptedVersions(history, accepted),
  ];
}

/**
 * Submissions that the log accepted, by version. A submission is accepted if
 * its base is the newest accepted version before it.
 */
function acceptedRecords(
  records: readonly LoggedSubmission[],
): Map<number, LoggedSubmission> {
  const accepted = new Map<number, LoggedSubmission>();
  let version = 0;
  for (const record of records) {
    if (record.base !== version) continue;
    version = record.offset + 1;
    accepted.set(version, record);
  }
  return accepted;
}

function checkSubmission(
  submitted: Submission,
  winners: ReadonlyMap<number, LoggedSubmission>,
  records: readonly LoggedSubmission[],
): Violation[] {
  const {id, told, version} = submitted;
  const won = [...winners].find(([, record]) => record.id === id);
  const inLog = records.filter(record => record.id === id);
  switch (told) {
    case SubmissionOutcome.Accepted:
      if (won?.[0] === version) return [];
      return [
        violationOf('was reported as accepted, but is not', submitted, inLog),
      ];
    case SubmissionOutcome.Refused:
      if (won === undefined) return [];
      return [
        violationOf(
          'was reported as refused, but was accepted',
          submitted,
          inLog,
        ),
      ];
    case SubmissionOutcome.NotSent:
      if (inLog.length === 0) return [];
      return [
        violationOf(
          'was reported as not sent, but is in the log',
          submitted,
          inLog,
        ),
      ];
    case SubmissionOutcome.Unknown:
      return [];
  }
}

/** Finds a router that reported a version that the log never accepted. */
function findUnacceptedVersions(
  {sightings, records}: History,
  winners: ReadonlyMap<number, LoggedSubmission>,
): Violation[] {
  if (records.length === 0) return [];
  const unaccepted = sightings.find(
    ({version}) => version !== 0 && !winners.has(version),
  );
  if (unaccepted === undefined) return [];
  const message = `${unaccepted.router} had a version that was never accepted`;
  return [{guarantee: Guarantee.Configuration, message, trace: [unaccepted]}];
}

function violationOf(
  problem: string,
  submitted: Submission,
  inLog: readonly LoggedSubmission[],
): Violation {
  const message = `submission ${submitted.id} ${problem}`;
  const trace = [submitted, ...inLog];
  return {guarantee: Guarantee.Configuration, message, trace};
}
