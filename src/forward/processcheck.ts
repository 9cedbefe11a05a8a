import {fetchReport, type ReportSpec} from './processreport.js';

/** Time within which an upstream must report, in ms. */
const REPORT_TIMEOUT_MS = 400;

/** Whether a connection leads to the process that an entry describes. */
export enum ProcessCheck {
  Same = 'same',
  /** Another one, or none that reports in time. */
  Other = 'other',
  /** The upstream doesn't report when its process started. */
  Unknown = 'unknown',
}

/**
 * Asks an upstream which process is at the other end of a connection. An
 * upstream may be started again under its id, at its address, before its entry
 * tells that. From then on, the connection isn't opened again once it is closed;
 * after `Other`, it is unusable.
 */
export async function checkProcess(spec: ReportSpec): Promise<ProcessCheck> {
  const {connection, endpoint, protocol, timer} = spec;
  const {startedAt} = endpoint.entry;
  if (startedAt === undefined) return ProcessCheck.Unknown;
  if (connection.processStartedAt === startedAt) return ProcessCheck.Same;
  connection.reopens = false;
  const controller = new AbortController();
  const timeout = timer.after(REPORT_TIMEOUT_MS, () => controller.abort());
  const signal = AbortSignal.any([spec.signal, controller.signal]);
  const report = await fetchReport({...spec, signal});
  timeout.end();
  if (report.isErr()) return ProcessCheck.Other;
  const {status, body} = report.value;
  if (status !== 200) return ProcessCheck.Unknown;
  const reported = protocol.readReport(body).startedAt;
  if (reported === undefined) return ProcessCheck.Unknown;
  connection.processStartedAt = reported;
  return reported === startedAt ? ProcessCheck.Same : ProcessCheck.Other;
}
