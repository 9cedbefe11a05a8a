import {request} from 'node:http';
import {sleep} from './silentupstream.js';

/** What became of one request. */
export interface SeriesEnd {
  /** Status of its answer; absent if it had none. */
  status?: number;
  /** Time from its sending to its end, in ms. */
  ms: number;
}

/** Requests that callers send at a steady rate. */
export interface SeriesSpec {
  host: string;
  port: number;
  path: string;
  headers?: Record<string, string>;
  perSecond: number;
  durationMs: number;
  deadlineMs: number;
}

/** Sends a series of requests, whose answers are read and dropped. */
export async function sendSeries(spec: SeriesSpec): Promise<SeriesEnd[]> {
  const {perSecond, durationMs} = spec;
  const count = Math.round((perSecond * durationMs) / 1_000);
  const startedAt = performance.now();
  const ends: Array<Promise<SeriesEnd>> = [];
  while (ends.length < count) {
    const passedMs = performance.now() - startedAt;
    const due = Math.min(count, Math.ceil((passedMs * perSecond) / 1_000));
    while (ends.length < due) ends.push(send(spec, ends.length));
    await sleep(5);
  }
  return Promise.all(ends);
}

function send(
  {host, port, path, headers, deadlineMs}: SeriesSpec,
  index: number,
): Promise<SeriesEnd> {
  const sentAt = performance.now();
  return new Promise(resolve => {
    const finish = (status?: number) => {
      const ms = performance.now() - sentAt;
      resolve(status === undefined ? {ms} : {ms, status});
    };
    const message = request(
      {
        host,
        port,
        path,
        method: 'POST',
        agent: false,
        headers: {
          host: 'shop.example',
          authorization: 'Bearer key-one',
          'x-request-id': `${path}${index}`,
          'x-deadline-ms': String(deadlineMs),
          ...headers,
        },
      },
      response => {
        response.on('error', () => undefined);
        response.on('close', () => finish(response.statusCode));
        response.resume();
      },
    );
    message.on('error', () => finish());
    message.end();
  });
}
