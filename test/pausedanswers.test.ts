import assert from 'node:assert/strict';
import {subscribe, unsubscribe} from 'node:diagnostics_channel';
import type {Socket} from 'node:net';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import type {Dispatcher} from 'undici';
import {decodeEntry} from '../platform/entry.js';
import {Endpoint} from '../src/forward/endpoint.js';
import {openGuardedClient} from '../src/upstream/pauseguard.js';
import {LOOPBACK} from '../stand-ins/loopback.js';
import {CHUNKED, closeAll, openUpstream} from './support/endless.js';
import {successHead, wireEntry} from './support/gateway.js';
import {sleep} from './support/silentupstream.js';

const CONNECTIONS = 8;
const ANSWER_BYTES = 8 * 1024 * 1024;
/** Most bytes that a connection may hold unread. */
const UNREAD_BYTES = 256 * 1024;
/** Pauses of each answer. */
const PAUSES = 100;
const PAUSE_MS = 2;

/** Tells of each socket that this process opens to a server. */
const CHANNEL = 'net.client.socket';

const sockets: Socket[] = [];
const keep = (message: unknown) =>
  sockets.push((message as {socket: Socket}).socket);

beforeEach(() => subscribe(CHANNEL, keep));
afterEach(async () => {
  unsubscribe(CHANNEL, keep);
  sockets.length = 0;
  await closeAll();
});

/** A connection whose answers can be paused. */
interface PausableConnection {
  dispatch(handler: Dispatcher.DispatchHandler): void;
  pause(controller: Dispatcher.DispatchController): void;
  resume(controller: Dispatcher.DispatchController): void;
  close(): void;
}

const REQUEST = {method: 'GET', path: '/'} as const;

/** Opens a connection of the gateway. */
function openOfGateway(port: number): PausableConnection {
  const value = Buffer.from(JSON.stringify(wireEntry('plain', port)));
  const entry = decodeEntry('i-1', value);
  assert(!('reason' in entry));
  const connection = new Endpoint(entry, LOOPBACK).connections.openDirectly();
  return {
    dispatch: handler => connection.dispatch(REQUEST, handler),
    pause: controller => {
      connection.noteProgress();
      connection.pause(controller);
    },
    resume: () => connection.resume(),
    close: () => connection.destroy(),
  };
}

/** Opens a connection of the product's own interface. */
function openOfProduct(port: number): PausableConnection {
  const client = openGuardedClient(`http://${LOOPBACK}:${port}`, {});
  return {
    dispatch: handler => client.dispatch(REQUEST, handler),
    pause: controller => controller.pause(),
    resume: controller => controller.resume(),
    close: () => void client.destroy(),
  };
}

/** Resolves when the answer has been paused often enough. */
function pauseOften(connection: PausableConnection): Promise<void> {
  return new Promise((resolve, reject) => {
    let pauses = 0;
    connection.dispatch({
      onRequestStart: () => undefined,
      onResponseStart: () => undefined,
      onResponseData: controller => {
        connection.pause(controller);
        pauses++;
        if (pauses === PAUSES) resolve();
        else void sleep(PAUSE_MS).then(() => connection.resume(controller));
      },
      onResponseEnd: () => undefined,
      onResponseError: (_controller, error) => reject(error),
    });
  });
}

// Guards against connections that read on at each pause of their answers.
describe.each([
  {interface: 'the gateway', open: openOfGateway},
  {interface: 'the product', open: openOfProduct},
])('long answers to $interface are not read ahead', ({open}) => {
  test.each([{chunkBytes: 1}, {chunkBytes: 1024}, {chunkBytes: 16 * 1024}])(
    'while they are often paused, in chunks of $chunkBytes bytes',
    async ({chunkBytes}) => {
      const length = chunkBytes.toString(16);
      const chunk = `${length}\r\n${'x'.repeat(chunkBytes)}\r\n`;
      const bytes = Buffer.from(chunk.repeat(ANSWER_BYTES / chunk.length));
      const {port} = await openUpstream('plain', 'i-1', ({id, socket}) => {
        socket.write(successHead(id, CHUNKED));
        socket.write(bytes);
      });
      const connections = Array.from({length: CONNECTIONS}, () => open(port));
      await Promise.all(connections.map(pauseOften));
      const unread = sockets.map(socket => socket.readableLength);
      for (const connection of connections) connection.close();
      expect(unread).toHaveLength(CONNECTIONS);
      expect(Math.max(...unread)).toBeLessThan(UNREAD_BYTES);
    },
  );
});
