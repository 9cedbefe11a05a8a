import type {Dispatcher} from 'undici';
import type {Timer} from '../timer/index.js';
import {ByteCollector} from './bytes.js';
import type {Connection} from './connections.js';
import type {Endpoint} from './endpoint.js';
import type {Protocol, ResponseHead} from './protocol.js';

/** Time within which an upstream must report, in ms. */
const REPORT_TIMEOUT_MS = 400;
/** Longest body of a report, in bytes. */
const REPORT_LIMIT_BYTES = 1024 * 1024;

/** Whether a connection leads to the process that an entry describes. */
export enum ProcessCheck {
  Same = 'same',
  /** Another one, or none that reports in time. */
  Other = 'other',
  /** The upstream doesn't report when its process started. */
  Unknown = 'unknown',
}

/** Inputs of [[checkProcess]]. */
export interface ProcessCheckSpec {
  endpoint: Endpoint;
  /** A connection that carries nothing else; unusable after `Other`. */
  connection: Connection;
  protocol: Protocol;
  timer: Timer;
  /** Breaks the check off. */
  signal: AbortSignal;
  /** Called with the head of the report. */
  observe: (head: ResponseHead & {status: number}) => void;
}

/**
 * Asks an upstream which process is at the other end of a connection. An
 * upstream may be started again under its id, at its address, before its entry
 * tells that. From then on, the connection isn't opened again once it is closed.
 */
export async function checkProcess(
  spec: ProcessCheckSpec,
): Promise<ProcessCheck> {
  const {connection, endpoint, protocol} = spec;
  const {startedAt} = endpoint.entry;
  if (startedAt === undefined) return ProcessCheck.Unknown;
  if (connection.processStartedAt === startedAt) return ProcessCheck.Same;
  connection.reopens = false;
  const response = await report(spec);
  if (response === undefined) return ProcessCheck.Other;
  if (response.status !== 200) return ProcessCheck.Unknown;
  const reported = protocol.readReport(response.body).startedAt;
  if (reported === undefined) return ProcessCheck.Unknown;
  connection.processStartedAt = reported;
  return reported === startedAt ? ProcessCheck.Same : ProcessCheck.Other;
}

/** The report of an upstream; undefined if none comes in time. */
function report({
  endpoint,
  connection,
  protocol,
  timer,
  signal,
  observe,
}: ProcessCheckSpec): Promise<{status: number; body: Buffer} | undefined> {
  return new Promise(resolve => {
    let status = 0;
    const body = new ByteCollector();
    const finish = (isWhole: boolean) => {
      timeout.end();
      signal.removeEventListener('abort', onAbort);
      if (isWhole) connection.hasResponded = true;
      resolve(isWhole ? {status, body: body.take()} : undefined);
    };
    const onAbort = () => finish(false);
    const timeout = timer.after(REPORT_TIMEOUT_MS, () => finish(false));
    signal.addEventListener('abort', onAbort, {once: true});
    const handler: Dispatcher.DispatchHandler = {
      onRequestStart: () => undefined,
      onResponseStart: (_controller, received, headers) => {
        status = received;
        observe({...protocol.readResponse(status, headers), status});
        connection.noteProgress();
        endpoint.noteHeard(connection.path, timer.now());
      },
      onResponseData: (controller, chunk) => {
        connection.noteProgress();
        body.push(chunk);
        if (body.length > REPORT_LIMIT_BYTES) {
          controller.abort(new OversizedReport());
        }
      },
      onResponseEnd: () => finish(true),
      onResponseError: () => finish(false),
    };
    try {
      connection.dispatch({method: 'GET', path: protocol.probeTarget}, handler);
    } catch {
      // The HTTP client refuses requests on a connection that was destroyed.
      finish(false);
    }
  });
}

/** An upstream reported too much. */
class OversizedReport extends Error {
  override name = 'OversizedReport';
  override message = 'a report that is too long';
}
