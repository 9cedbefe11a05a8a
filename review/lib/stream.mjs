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

/** Id of the shared part of a stream's prompt; another for each path. */
function partOf(path) {
  return Buffer.from(path).toString('hex').slice(-8);
}

/**
 * Opens a stream. `onEvent` is called with the id of each event; the returned
 * object tells what came, and `leave` closes the connection.
 */
export function openStream(gateway, path, {lastEvent, resumes, onEnd} = {}) {
  const stream = {id: newId(), path, events: [], versions: new Set()};
  stream.heardAt = Date.now();
  stream.done = new Promise(resolve => {
    const finish = error => {
      if (stream.endedAt !== undefined) return;
      stream.endedAt = Date.now();
      if (error !== undefined) stream.error = error;
      onEnd?.(stream);
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
          'x-deadline-ms': '12000',
          'x-model': 'm',
          'x-token-counts': '1460,160',
          'x-prompt-prefix': `${partOf(path)}:800,${stream.id.slice(-8)}:660`,
          ...(lastEvent === undefined ? {} : {'last-event-id': lastEvent}),
          ...(resumes === undefined ? {} : {resumes}),
        },
      },
      response => {
        stream.status = response.statusCode;
        stream.headers = response.headers;
        let text = '';
        response.on('data', chunk => {
          stream.heardAt = Date.now();
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
