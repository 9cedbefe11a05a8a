import type {HistorySnapshot} from '../telemetry/index.js';

/** Where the figures of an instance came from. */
export enum Source {
  /** The instance answered. */
  Live = 'live',
  /** The instance is gone or silent; its summaries were read from the log. */
  Summaries = 'summaries',
}

/** The share of one incarnation of an instance in a report. */
export interface Contribution {
  instance: string;
  incarnation: number;
  source: Source;
  account: HistorySnapshot;
}

/** Why a stretch of time of an instance is missing from a report. */
export enum GapReason {
  /** A summary between two others is not on the log. */
  SummaryLost = 'summary_lost',
  /** The instance is not known to be live, and wrote no last summary. */
  EndedAbruptly = 'ended_abruptly',
  /** The instance did not answer, and its newest figures are with it. */
  Silent = 'silent',
  /** The instance is known to have run, but left no summary at all. */
  NoSummary = 'no_summary',
}

/** A stretch of time whose requests a report does not count. */
export interface Gap {
  instance: string;
  incarnation: number;
  reason: GapReason;
  /** Wall-clock ms; absent where it can't be told. */
  from?: number;
  to?: number;
}

/** An incarnation, as a key for maps. */
export function incarnationKey(author: {
  instance: string;
  incarnation: number;
}): string {
  return `${author.instance}/${author.incarnation}`;
}
