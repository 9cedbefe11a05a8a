import {ByteCollector} from '../forward/bytes.js';

/** A body that is longer than allowed; the rest of it wasn't read. */
export class BodyTooLong extends Error {
  override name = 'BodyTooLong';

  constructor(readonly limitBytes: number) {
    super(`a body of more than ${limitBytes} bytes`);
  }
}

/**
 * Reads a whole body. Throws [[BodyTooLong]] beyond `limitBytes`, which closes
 * the connection.
 */
export async function readBounded(
  body: AsyncIterable<Buffer>,
  limitBytes: number,
): Promise<Buffer> {
  const collector = new ByteCollector();
  for await (const chunk of body) {
    if (collector.length + chunk.length > limitBytes) {
      throw new BodyTooLong(limitBytes);
    }
    collector.push(chunk);
  }
  return collector.take();
}
