/** Clients that speak to the front addresses of the system. */
import http from 'node:http';
import {HOST, KEY} from './run.mjs';

let count = 0;

/** An id that no other request of the run has. */
export function newId() {
  return `${Date.now().toString(16)}${(++count).toString(16).padStart(6, '0')}`;
}

/**
 * Sends one client attempt and resolves to how it ended: `status`, `headers` and
 * `body` of the answer, whether it is `complete`, or an `error`.
 */
export function send({
  host,
  port,
  agent,
  id = newId(),
  method = 'GET',
  path,
  key = KEY,
  deadlineMs,
  body,
  headers = {},
}) {
  return new Promise(resolve => {
    const outcome = {id, body: ''};
    let isOver = false;
    const finish = ended => {
      if (isOver) return;
      isOver = true;
      clearTimeout(timeout);
      resolve({...outcome, ...ended});
    };
    const request = http.request({
      host,
      port,
      agent,
      method,
      path,
      headers: {
        host: HOST,
        'x-request-id': id,
        'x-deadline-ms': String(deadlineMs),
        authorization: `Bearer ${key}`,
        ...(body === undefined ? {} : {'content-length': body.length}),
        ...headers,
      },
    });
    const timeout = setTimeout(() => {
      finish({error: 'deadline', complete: false});
      request.destroy();
    }, deadlineMs);
    request.on('response', response => {
      outcome.status = response.statusCode;
      outcome.headers = response.headers;
      response.setEncoding('utf8');
      response.on('data', text => (outcome.body += text));
      response.on('end', () => finish({complete: response.complete}));
      response.on('error', error =>
        finish({error: error.code, complete: false}),
      );
      response.on('close', () => finish({complete: response.complete}));
    });
    request.on('error', error => finish({error: error.code, complete: false}));
    request.end(body);
  });
}
