import {connect, type Socket} from 'node:net';
import {afterEach, expect, test} from 'vitest';
import {BoundedInstance} from './support/boundedinstance.js';
import {closeAll, openUpstream, PROMPT, UNFRAMED} from './support/endless.js';
import {successHead, type RawRequest} from './support/gateway.js';
import {USUAL_HEADERS} from './support/hostileclients.js';
import {sleep} from './support/silentupstream.js';

const MACHINE = {memoryMb: 350, maxFds: 4_100};
const FRONT_PORT = 8227;
const ENGINES = 8;
/**
 * Sizes of the answers, in KiB: from less than the systems of instance and caller
 * keep for a caller that doesn't read, to more.
 */
const MIN_KIB = 1_800;
const STEP_KIB = 12;
const BATCHES = 7;
const BATCH_SIZE = 40;
/** Time in which the answers of a batch come and are reset, in ms. */
const BATCH_MS = 3_000;
const PIECE_KIB = 8;
/** Time between the last bytes of an answer and the reset, in ms. */
const RESET_MS = 200;

let instance: BoundedInstance | undefined;
const callers: Socket[] = [];

afterEach(async () => {
  for (const socket of callers.splice(0)) socket.destroy();
  await instance?.close();
  instance = undefined;
  await closeAll();
});

/** Sends as many KiB as the id of the request names, then resets. */
function answer({id, socket}: RawRequest): void {
  let leftKib = Number(id);
  socket.write(successHead(id, UNFRAMED));
  const sending = setInterval(() => {
    if (leftKib > 0 && !socket.destroyed) {
      leftKib -= PIECE_KIB;
      socket.write(Buffer.alloc(PIECE_KIB * 1024, 'x'));
      return;
    }
    clearInterval(sending);
    setTimeout(() => socket.resetAndDestroy(), RESET_MS);
  }, 1);
}

/** Sends a request whose answer is never read. */
function ask(host: string, kib: number): Socket {
  const socket = connect(FRONT_PORT, host);
  socket.pause();
  socket.on('error', () => undefined);
  const prompt = Object.entries(PROMPT).map(
    ([key, value]) => `${key}: ${value}`,
  );
  const headers = [
    USUAL_HEADERS.replace('hostile', String(kib)).trimEnd(),
    ...prompt,
    'Content-Length: 0',
  ];
  socket.write(`POST /chat/a HTTP/1.1\r\n${headers.join('\r\n')}\r\n\r\n`);
  return socket;
}

test('upstreams that reset answers which wait for their callers end no process', async () => {
  const upstream = await openUpstream('engine', 'engine-0', answer);
  const engines = Array.from({length: ENGINES}, (_, index) => ({
    ...upstream,
    id: `engine-${index}`,
  }));
  instance = await BoundedInstance.open(MACHINE, engines);
  let kib = MIN_KIB;
  for (let batch = 0; batch < BATCHES && instance.usage.lives; batch++) {
    for (let index = 0; index < BATCH_SIZE; index++, kib += STEP_KIB) {
      callers.push(ask(instance.host, kib));
    }
    await sleep(BATCH_MS);
    for (const socket of callers.splice(0)) socket.destroy();
  }
  expect(instance.usage.lives).toBe(true);
  expect(await instance.serveOne('after')).toBe('ok');
});
