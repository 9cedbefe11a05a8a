import {err, ok, type Result} from 'neverthrow';
import type {Dispatcher} from 'undici';
import type {Timer} from '../timer/index.js';
import {AnswerFlow} from './answerflow.js';
import {AnswerFault, type Answers} from './answers.js';
import {ByteCollector} from './bytes.js';
import type {Connection} from './connections.js';
import type {Endpoint} from './endpoint.js';
import type {Protocol, ResponseHead} from './protocol.js';

/** Longest body of a report, in bytes. */
const REPORT_LIMIT_BYTES = 1024 * 1024;

/** Inputs of [[fetchReport]]. */
export interface ReportSpec {
  endpoint: Endpoint;
  /** A connection that carries nothing else. */
  connection: Connection;
  protocol: Protocol;
  timer: Timer;
  answers: Answers;
  /** Breaks the request off. */
  signal: AbortSignal;
  /** Called with the head of the report. */
  observe: (head: ResponseHead & {status: number}) => void;
}

/** Status and body of the response to a request for a report. */
export interface Report {
  status: number;
  body: Buffer;
}

/** Asks for an upstream's report; an error tells why no whole one came. */
export function fetchReport({
  endpoint,
  connection,
  protocol,
  timer,
  answers,
  signal,
  observe,
}: ReportSpec): Promise<Result<Report, Error>> {
  return new Promise(resolve => {
    let status = 0;
    const body = new ByteCollector();
    let breakOff = () => {};
    const flow = new AnswerFlow({
      answers,
      timer,
      endpoint,
      connection,
      breakOff: () => {
        flow.recordFault(AnswerFault.SmallParts);
        breakOff();
      },
    });
    const finish = (result: Result<Report, Error>) => {
      signal.removeEventListener('abort', onAbort);
      flow.end();
      if (result.isOk()) connection.hasResponded = true;
      resolve(result);
    };
    const onAbort = () => finish(err(new BrokenOff()));
    signal.addEventListener('abort', onAbort, {once: true});
    const handler: Dispatcher.DispatchHandler = {
      onRequestStart: controller => {
        breakOff = () => controller.abort(new BrokenOff());
      },
      onResponseStart: (_controller, received, headers) => {
        status = received;
        observe({...protocol.readResponse(status, headers), status});
        connection.noteProgress();
        endpoint.connections.idleEnds.readAnnouncement(headers);
        endpoint.noteHeard(connection.path, timer.now());
      },
      onResponseData: (controller, chunk) => {
        connection.noteProgress();
        body.push(chunk);
        flow.addChunk(controller, chunk.length);
        if (body.length > REPORT_LIMIT_BYTES) {
          flow.recordFault(AnswerFault.LongReport);
          controller.abort(new OversizedReport());
        }
      },
      onResponseEnd: () => finish(ok({status, body: body.take()})),
      onResponseError: (_controller, error) => {
        flow.recordError(error);
        finish(err(error));
      },
    };
    try {
      connection.dispatch({method: 'GET', path: protocol.probeTarget}, handler);
    } catch (error) {
      // The HTTP client refuses requests on a connection that was destroyed.
      finish(err(error instanceof Error ? error : new BrokenOff()));
    }
  });
}

/** The request for a report was aborted here. */
class BrokenOff extends Error {
  override name = 'BrokenOff';
  override message = 'the request for a report was broken off';
}

/** An upstream reported too much. */
class OversizedReport extends Error {
  override name = 'OversizedReport';
  override message = 'a report that is too long';
}
