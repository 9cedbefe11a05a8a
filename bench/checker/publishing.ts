import {
  SubmissionOutcome,
  type History,
  type LoggedSubmission,
  type Submission,
} from '../history.js';
import {Guarantee, type Violation} from './violation.js';

/**
 * Checks that operators were told what the log's order decided, and that only
 * accepted versions were ever in force.
 */
export function checkPublishing(history: History): Violation[] {
  const winners = acceptedRecords(history.records);
  return [
    ...history.submissions.flatMap(item =>
      checkSubmission(item, winners, history.records),
    ),
    ...findUnacceptedVersions(history, winners),
  ];
}

/** Records that the order of the log accepts, by the version they became. */
function acceptedRecords(
  records: readonly LoggedSubmission[],
): Map<number, LoggedSubmission> {
  const winners = new Map<number, LoggedSubmission>();
  let version = 0;
  for (const record of records) {
    if (record.base !== version) continue;
    version = record.offset + 1;
    winners.set(version, record);
  }
  return winners;
}

function checkSubmission(
  submitted: Submission,
  winners: ReadonlyMap<number, LoggedSubmission>,
  records: readonly LoggedSubmission[],
): Violation[] {
  const {id, told, version} = submitted;
  const won = [...winners].find(([, record]) => record.id === id);
  const sent = records.filter(record => record.id === id);
  switch (told) {
    case SubmissionOutcome.Accepted:
      if (won?.[0] === version) return [];
      return [violationOf('was told accepted and is not', submitted, sent)];
    case SubmissionOutcome.Refused:
      if (won === undefined) return [];
      return [violationOf('was told refused and is in force', submitted, sent)];
    case SubmissionOutcome.NotSent:
      if (sent.length === 0) return [];
      return [
        violationOf('was told not sent and is in the log', submitted, sent),
      ];
    case SubmissionOutcome.Unknown:
      return [];
  }
}

function findUnacceptedVersions(
  {sightings, records}: History,
  winners: ReadonlyMap<number, LoggedSubmission>,
): Violation[] {
  if (records.length === 0) return [];
  const strange = sightings.find(
    ({version}) => version !== 0 && !winners.has(version),
  );
  if (strange === undefined) return [];
  const message = `${strange.router} had a version that was never accepted`;
  return [{guarantee: Guarantee.Configuration, message, trace: [strange]}];
}

function violationOf(
  what: string,
  submitted: Submission,
  sent: readonly LoggedSubmission[],
): Violation {
  const message = `submission ${submitted.id} ${what}`;
  const trace = [submitted, ...sent];
  return {guarantee: Guarantee.Configuration, message, trace};
}
