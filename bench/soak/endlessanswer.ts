import type {Socket} from 'node:net';
import type {Random} from '../random.js';
import {ServiceName} from './deployment.js';
import type {OpenAnswer} from './openanswer.js';

/** Where bytes that are no answer stand. */
enum Shape {
  /** In place of a head. */
  Head = 'head',
  Length = 'length',
  Chunks = 'chunks',
  SmallChunks = 'smallChunks',
  /** In a body that ends with its connection. */
  Unframed = 'unframed',
}

const BODY_HEADERS: Record<Exclude<Shape, Shape.Head>, string[]> = {
  [Shape.Length]: ['content-length: 1000000000000'],
  [Shape.Chunks]: ['transfer-encoding: chunked'],
  [Shape.SmallChunks]: ['transfer-encoding: chunked'],
  [Shape.Unframed]: ['connection: close'],
};
/** No field of an event stream can be written with these. */
const CHARACTERS = [...'qwxyz0189#%~\n\n\n'];
const PIECE_BYTES = 8_192;
const SMALL_CHUNKS = 200;
const PAUSE_MS = 1;

/** Answers by bytes that are no answer until the caller closes. */
export async function writeEndlessly(
  {socket, arrival}: OpenAnswer,
  random: Random,
): Promise<void> {
  if (socket === null) return;
  const shape = random.pick(Object.values(Shape));
  arrival.isEndless = true;
  if (shape !== Shape.Head) {
    const isStream = arrival.service === ServiceName.Streams;
    const head = [
      'HTTP/1.1 200 OK',
      `x-request-id: ${arrival.request}`,
      `x-response-seal: ${arrival.seal}`,
      `content-type: ${isStream ? 'text/event-stream' : 'text/plain'}`,
      ...BODY_HEADERS[shape],
    ];
    socket.write(`${head.join('\r\n')}\r\n\r\n`);
  }
  const piece = pieceOf(shape, random);
  while (!socket.destroyed && socket.writable) {
    if (!socket.write(piece)) await untilWritable(socket);
    await new Promise(resolve => setTimeout(resolve, PAUSE_MS));
  }
}

function untilWritable(socket: Socket): Promise<void> {
  return new Promise(resolve => {
    const end = () => {
      socket.off('drain', end).off('close', end);
      resolve();
    };
    socket.on('drain', end).on('close', end);
  });
}

function pieceOf(shape: Shape, random: Random): string {
  const text = Array.from({length: PIECE_BYTES}, () =>
    random.pick(CHARACTERS),
  ).join('');
  switch (shape) {
    case Shape.Chunks:
      return `${text.length.toString(16)}\r\n${text}\r\n`;
    case Shape.SmallChunks:
      return [...text.slice(0, SMALL_CHUNKS)]
        .map(character => `1\r\n${character}\r\n`)
        .join('');
    case Shape.Head:
    case Shape.Length:
    case Shape.Unframed:
      return text;
  }
}
