/** Streams of several software versions, and clients that break off and take up. */
import http from 'node:http';
import {newId} from './client.mjs';
import {HOST, KEY} from './run.mjs';
import {Runner} from './runner.mjs';

const EVENTS = 60;
const PAUSE_MS = 100;
const DEADLINE_MS = 12_000;
export const SERVICE = 'pool';
const PROMPT = {
  'x-model': 'm',
  'x-token-counts': '260,200',
};

/** Shared parts of prompts, as many as a kind of request of the site has. */
const SHARED_PARTS = 142;
const sharedPart = () =>
  Math.floor(Math.random() * SHARED_PARTS)
    .toString(16)
    .padStart(8, '5c1e07a2');

/** The route and the service of the streams. */
export const ROUTE = {
  name: 'ask',
  pathPrefix: '/ask/',
  kind: 'streaming',
  resumable: true,
  sticky: true,
  timeoutMs: DEADLINE_MS,
  targetLatencyMs: 500,
  gapTargetMs: 300,
  maxAttempts: 2,
  service: SERVICE,
};
export const POOL = {
  name: SERVICE,
  maxConnections: 370,
  engine: {slots: 64, kvCapacityTokens: 704_603, stride: 4},
};

/** Writes streams whose events tell its software version. */
export class Engine extends Runner {
  /** Events of a whole stream. */
  events = EVENTS;

  constructor(options, version) {
    super(options);
    this.version = version;
    this.id = `i-${version}-${options.index}`;
  }

  answer(request, response) {
    const id = request.headers['x-request-id'];
    let event = Number(request.headers['last-event-id'] ?? 0);
    response.writeHead(200, {
      ...this.headersFor(request),
      'x-response-seal': `${this.id}.${id}`,
      'content-type': 'text/event-stream',
    });
    const write = () => {
      if (response.destroyed || !this.isUp) return;
      event++;
      response.write(`id: ${event}\ndata: ${this.version}\n\n`);
      if (event >= this.events) response.end();
      else setTimeout(write, PAUSE_MS);
    };
    setTimeout(write, PAUSE_MS);
  }
}

/**
 * One client attempt, which may take up the stream of another one; resolves with
 * its first events, at once if there are none. Then its connection is reset.
 */
export function openStream(gateway, {takesUp, events}) {
  const id = newId();
  return new Promise(resolve => {
    const sentAt = takesUp?.sentAt ?? performance.now();
    const prompt = takesUp?.prompt ?? `${sharedPart()}:200,${id}:60`;
    const leftMs = DEADLINE_MS - (performance.now() - sentAt);
    const outcome = {id, sentAt, prompt, events: [], versions: new Set()};
    const request = http.request({
      host: gateway.host,
      port: gateway.frontPort,
      agent: false,
      method: 'POST',
      path: '/ask/',
      headers: {
        ...PROMPT,
        host: HOST,
        'x-request-id': id,
        'x-prompt-prefix': prompt,
        'x-deadline-ms': String(Math.round(leftMs)),
        authorization: `Bearer ${KEY}`,
        'content-length': '0',
        ...(takesUp === undefined
          ? {}
          : {
              'last-event-id': String(takesUp.events.at(-1)),
              resumes: takesUp.id,
            }),
      },
    });
    const finish = () => {
      // A reset, as of a connection that broke.
      request.socket?.resetAndDestroy();
      resolve(outcome);
    };
    request.on('error', () => resolve(outcome));
    request.on('response', response => {
      outcome.status = response.statusCode;
      response.setEncoding('utf8');
      response.on('data', text => {
        for (const [, event] of text.matchAll(/^id: (\d+)$/gm)) {
          outcome.events.push(Number(event));
        }
        for (const [, version] of text.matchAll(/^data: (\S+)$/gm)) {
          outcome.versions.add(version);
        }
        if (outcome.events.length >= events) finish();
      });
      response.on('error', () => resolve(outcome));
      response.on('end', () => resolve(outcome));
    });
    request.end();
  });
}
