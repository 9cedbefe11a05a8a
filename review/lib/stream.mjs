/** Stand-ins of streams: a runner's answer, and a client that reads events. */
import {Agent, request as send} from 'node:http';
import {newId} from './client.mjs';
import {sleep} from './gateway.mjs';

/**
 * Answers a run with `count` events, one each `pauseMs`, which begin after the
 * event that the request names as the last one known.
 */
export function streamOf(runner, count, pauseMs) {
  return async (run, response) => {
    response.writeHead(200, {
      ...runner.head(run.id),
      'x-response-seal': runner.seal(run),
      'content-type': 'text/event-stream',
    });
    const first = Number(run.headers['last-event-id'] ?? 0) + 1;
    for (let event = first; event <= count; event++) {
      if (response.destroyed) return;
      response.write(`id: ${event}\ndata: ${event} of ${runner.version}\n\n`);
      await sleep(pauseMs);
    }
    response.end();
  };
}

/** Time that a client gives a stream, over all of its tries, in ms. */
const PATIENCE_MS = 12_000;

/** Parts of a stream's prompt: others for each path, the same for a take-up. */
function promptOf(path) {
  const id = Buffer.from(path).toString('hex').slice(-8);
  return `a${id}:800,b${id}:660`;
}

/**
 * Opens a stream, or takes up `after`, one that has left. The returned object
 * tells what came; `leave` closes the connection.
 */
export function openStream(gateway, path, {after, record} = {}) {
  const sentAt = Date.now();
  const stream = {id: newId(), path, events: [], versions: new Set()};
  stream.givesUpAt = after?.givesUpAt ?? sentAt + PATIENCE_MS;
  const lastEvent = after?.events.at(-1);
  record?.note(
    `client sent ${stream.id} ${path} to ${gateway.name}` +
      (after === undefined ? '' : `, after ${lastEvent} of ${after.id}`),
  );
  stream.done = new Promise(resolve => {
    const finish = error => {
      if (stream.endedAt !== undefined) return;
      stream.endedAt = Date.now();
      if (error !== undefined) stream.error = error;
      resolve(stream);
    };
    const message = send(
      {
        host: gateway.host,
        port: gateway.port,
        method: 'POST',
        path,
        agent: new Agent({keepAlive: false}),
        headers: {
          host: 'app.example',
          authorization: 'Bearer key-a',
          'content-length': 2,
          'x-request-id': stream.id,
          'x-deadline-ms': String(stream.givesUpAt - sentAt),
          'x-model': 'm',
          'x-token-counts': '1460,160',
          'x-prompt-prefix': promptOf(path),
          ...(after === undefined
            ? {}
            : {'last-event-id': String(lastEvent), resumes: after.id}),
        },
      },
      response => {
        stream.status = response.statusCode;
        stream.headers = response.headers;
        let text = '';
        response.on('data', chunk => {
          text += chunk;
          const parts = text.split('\n\n');
          text = parts.pop();
          for (const part of parts) {
            const id = /^id: (\d+)$/m.exec(part)?.[1];
            const version = /^data: .* of (\S+)$/m.exec(part)?.[1];
            if (id !== undefined) stream.events.push(Number(id));
            if (version !== undefined) stream.versions.add(version);
          }
        });
        response.on('close', () => {
          stream.complete = response.complete;
          finish();
        });
      },
    );
    message.on('error', error => finish(error.code ?? error.message));
    stream.leave = () => {
      message.destroy();
      finish('left');
    };
    message.end('{}');
  });
  return stream;
}

/** How long a client waits before it tries again, after the answer `stream`. */
export function retryDelayMs({headers, givesUpAt}) {
  const askedMs = 1_000 * Number(headers?.['retry-after'] ?? 0.5);
  // Clients honour Retry-After up to a third of the time that they have left.
  return Math.max(0, Math.min(askedMs, (givesUpAt - Date.now()) / 3));
}
