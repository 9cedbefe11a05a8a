/** Stand-in of a client: one request on a connection, new or kept. */
import {Agent, request as send} from 'node:http';

let count = 0;

export function newId() {
  return `${process.pid.toString(16)}${(++count).toString(16).padStart(8, '0')}`;
}

/** Sends a request; resolves to what came back, and never rejects. */
export function call(gateway, options = {}) {
  const {method = 'POST', path, host = 'app.example', body = ''} = options;
  const {key = 'key-a', deadlineMs = 1_200, headers = {}, agent} = options;
  const id = options.id ?? newId();
  const sentAt = Date.now();
  return new Promise(resolve => {
    const finish = result =>
      resolve({id, path, sentAt, endedAt: Date.now(), ...result});
    const message = send(
      {
        host: gateway.host,
        port: gateway.port,
        method,
        path,
        agent: agent ?? new Agent({keepAlive: false}),
        headers: {
          host,
          'x-request-id': id,
          'x-deadline-ms': String(deadlineMs),
          ...(key === undefined ? {} : {authorization: `Bearer ${key}`}),
          ...(method === 'GET' ? {} : {'content-length': body.length}),
          ...headers,
        },
      },
      response => {
        const chunks = [];
        response.on('data', chunk => chunks.push(chunk));
        response.on('close', () => {
          finish({
            status: response.statusCode,
            headers: response.headers,
            body: Buffer.concat(chunks).toString('utf8'),
            complete: response.complete,
          });
        });
      },
    );
    message.setTimeout(deadlineMs + 2_000, () => message.destroy());
    message.on('error', error => finish({error: error.code ?? error.message}));
    message.end(body);
  });
}
