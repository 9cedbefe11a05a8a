/**
 * A plain upstream as a process of its own: `upstream.js WORK_MS`. Tells its
 * port and each request that it reads on standard output, a JSON line each.
 */
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';

const workMs = Number(process.argv[2]);

const server = createServer((message, response) => {
  const id = message.headers['x-request-id'];
  if (typeof id !== 'string') {
    response.writeHead(404).end();
    return;
  }
  const handedMs = Number(message.headers['x-deadline-ms']);
  process.stdout.write(
    `${JSON.stringify({id, readAt: Date.now(), handedMs})}\n`,
  );
  setTimeout(() => {
    const headers = {'x-request-id': id, 'x-response-seal': `seal-of-${id}`};
    response.writeHead(200, headers).end('the whole body');
  }, workMs);
});

server.listen(0, '127.0.0.1', () => {
  const {port} = server.address() as AddressInfo;
  process.stdout.write(`${JSON.stringify({port})}\n`);
});
