import type {CrashReport} from './evidence.js';

/** Most reports that are kept; the oldest go first. */
const MAX_REPORTS = 256;

/** Age from which a report doesn't count, in ms. */
const REPORT_AGE_MS = 600_000;

/** Most suspects that are kept of a report. */
const MAX_SUSPECTS = 16;

/** Most parts that are kept, counted in each suspect; the oldest go first. */
const MAX_PARTS = 20_000;

/**
 * Time in which reports on an upstream whose process states no start are taken
 * for one crash, in ms.
 */
const SAME_CRASH_MS = 2000;

/** A request that ended with a process, as the log keeps it. */
export interface CrashedRequest {
  request: string;
  parts: readonly string[];
  /** Time when it was sent to the upstream, in monotonic ms. */
  sentAt: number;
}

/** The end of one process, of all reports on it. */
export interface Crash {
  upstream: string;
  /** Earliest time that a report states, in monotonic ms. */
  at: number;
  /** Time when this instance heard of it first, in monotonic ms. */
  learnedAt: number;
  /** Answers that this instance had recorded until then. */
  answers: number;
  requests: CrashedRequest[];
}

interface LoggedReport {
  key: string;
  upstream: string;
  startedAt: number;
  at: number;
  learnedAt: number;
  answers: number;
  requests: Map<string, CrashedRequest>;
  /** Number of parts of all its requests. */
  partCount: number;
}

function keyOf(report: CrashReport): string {
  const process = JSON.stringify([
    report.upstream,
    report.startedAt,
    report.reporter,
  ]);
  if (report.startedAt !== 0) return process;
  const requests = report.suspects.map(suspect => suspect.request).sort();
  return `${process} ${requests[0] ?? ''}`;
}

function compareReports(a: LoggedReport, b: LoggedReport): number {
  return a.at - b.at || (a.key < b.key ? -1 : a.key > b.key ? 1 : 0);
}

/** The newest crash reports, in a bounded number. */
export class CrashLog {
  private readonly reports = new Map<string, LoggedReport>();
  private partCount = 0;

  /** Records a report and returns whether it states anything new. */
  add(report: CrashReport, now: number, answers: number): boolean {
    if (report.suspects.length === 0) return false;
    if (report.at <= now - REPORT_AGE_MS) return false;
    const key = keyOf(report);
    let logged = this.reports.get(key);
    if (logged === undefined) {
      logged = {
        key,
        upstream: report.upstream,
        startedAt: report.startedAt,
        at: report.at,
        learnedAt: now,
        answers,
        requests: new Map(),
        partCount: 0,
      };
      this.reports.set(key, logged);
    }
    logged.at = Math.min(logged.at, report.at);
    let news = false;
    for (const {request, parts, openMs} of report.suspects) {
      const known = logged.requests.get(request);
      const sentAt = report.at - openMs;
      if (known !== undefined) {
        known.sentAt = Math.min(known.sentAt, sentAt);
        continue;
      }
      if (logged.requests.size >= MAX_SUSPECTS) break;
      logged.requests.set(request, {request, parts: [...parts], sentAt});
      logged.partCount += parts.length;
      this.partCount += parts.length;
      news = true;
    }
    if (!this.isFull) return news;
    for (const oldest of [...this.reports.values()].sort(compareReports)) {
      this.remove(oldest);
      if (!this.isFull) break;
    }
    return news && this.reports.has(key);
  }

  /** Drops reports that are too old, and returns whether there were any. */
  prune(now: number): boolean {
    let pruned = false;
    for (const report of this.reports.values()) {
      if (report.at > now - REPORT_AGE_MS) continue;
      this.remove(report);
      pruned = true;
    }
    return pruned;
  }

  /** Parts of the suspects of all reports. */
  parts(): Set<string> {
    const parts = new Set<string>();
    for (const {requests} of this.reports.values()) {
      for (const request of requests.values()) {
        for (const part of request.parts) parts.add(part);
      }
    }
    return parts;
  }

  /** The crashes that the reports tell of, the earliest first. */
  crashes(): Crash[] {
    const crashes: Crash[] = [];
    const latest = new Map<string, Crash>();
    for (const report of [...this.reports.values()].sort(compareReports)) {
      const process = JSON.stringify([report.upstream, report.startedAt]);
      let crash = latest.get(process);
      const isSame =
        crash !== undefined &&
        (report.startedAt !== 0 || report.at - crash.at <= SAME_CRASH_MS);
      if (crash === undefined || !isSame) {
        const {upstream, at, learnedAt, answers} = report;
        crash = {upstream, at, learnedAt, answers, requests: []};
        latest.set(process, crash);
        crashes.push(crash);
      }
      crash.learnedAt = Math.min(crash.learnedAt, report.learnedAt);
      crash.answers = Math.min(crash.answers, report.answers);
      crash.requests.push(...report.requests.values());
    }
    return crashes;
  }

  private get isFull(): boolean {
    return this.reports.size > MAX_REPORTS || this.partCount > MAX_PARTS;
  }

  private remove(report: LoggedReport): void {
    this.reports.delete(report.key);
    this.partCount -= report.partCount;
  }
}
