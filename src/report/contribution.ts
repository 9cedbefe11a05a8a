import type {HistorySnapshot} from '../telemetry/index.js';

/** Origin of the figures of an instance. */
export enum Source {
  /** The instance sent them. */
  Live = 'live',
  /** Read from summaries on the log; the instance is gone or did not answer. */
  Summaries = 'summaries',
}

/** Figures that one run of an instance adds to a report. */
export interface Contribution {
  instance: string;
  /** Incarnation with which the run started. */
  incarnation: number;
  source: Source;
  account: HistorySnapshot;
}

/** Why a report lacks the figures of an instance for some time. */
export enum GapReason {
  /** A summary is missing between two others on the log. */
  SummaryLost = 'summary_lost',
  /** The instance is not known to be live and wrote no final summary. */
  EndedAbruptly = 'ended_abruptly',
  /** The instance did not answer, and only it has its newest figures. */
  Silent = 'silent',
  /** The instance is known to have run but wrote no summary. */
  NoSummary = 'no_summary',
}

/** Time range in which a report does not count an instance's requests. */
export interface Gap {
  instance: string;
  incarnation: number;
  reason: GapReason;
  /** Start and end, wall-clock ms; absent if unknown. */
  from?: number;
  to?: number;
}

/** Returns a map key that identifies one incarnation of an instance. */
export function incarnationKey(author: {
  instance: string;
  incarnation: number;
}): string {
  return `${author.instance}/${author.incarnation}`;
}

/** A process runs longer than this before the next one of its name, in ms. */
const MIN_RUN_MS = 100;

/**
 * Whether the run that contributed is the one that has this incarnation. A run
 * raises its incarnation by one to refute a wrong record. The next run starts
 * with the wall-clock time, so it is above the end of what this one accounts for.
 */
export function isOfIncarnation(
  {instance, incarnation, account}: Contribution,
  known: {instance: string; incarnation: number},
): boolean {
  const highest = Math.max(account.to, incarnation + MIN_RUN_MS);
  return (
    instance === known.instance &&
    incarnation <= known.incarnation &&
    known.incarnation <= highest
  );
}
