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
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of body) {
    bytes += chunk.length;
    if (bytes > limitBytes) throw new BodyTooLong(limitBytes);
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}
