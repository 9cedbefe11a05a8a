import type {IncomingMessage} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import type {ByteBudget} from '../forward/bytebudget.js';
import {ByteCollector} from '../forward/bytes.js';

/** Why the body of a call wasn't received; the status of the response. */
export enum BodyRefusal {
  Incomplete = 400,
  TooLong = 413,
  NoMemory = 503,
}

/**
 * Receives the body of a call whose caller isn't authenticated yet, within
 * `limitBytes` and what the budget has for all such bodies.
 */
export function receiveBody(
  message: IncomingMessage,
  limitBytes: number,
  budget: ByteBudget,
): Promise<Result<Buffer, BodyRefusal>> {
  if (Number(message.headers['content-length'] ?? 0) > limitBytes) {
    return Promise.resolve(err(BodyRefusal.TooLong));
  }
  return new Promise(resolve => {
    const collector = new ByteCollector(budget.blocks);
    const finish = (result: Result<Buffer, BodyRefusal>) => {
      message.off('data', add);
      collector.discard();
      hold.release();
      resolve(result);
    };
    const hold = budget.open(() => finish(err(BodyRefusal.NoMemory)));
    const add = (chunk: Buffer) => {
      if (collector.length + chunk.length > limitBytes) {
        finish(err(BodyRefusal.TooLong));
      } else if (hold.take(collector.growthFor(chunk.length))) {
        collector.push(chunk);
      } else finish(err(BodyRefusal.NoMemory));
    };
    message.on('data', add);
    message.on('end', () => finish(ok(collector.take())));
    message.on('error', () => finish(err(BodyRefusal.Incomplete)));
    message.on('close', () => finish(err(BodyRefusal.Incomplete)));
  });
}
