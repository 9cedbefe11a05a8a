import {err, ok, type Result} from 'neverthrow';
import type {Log, PlatformFailure} from '../platform/index.js';
import {
  CHECKPOINT_STREAM,
  checkpointSchema,
  CONFIGURATION_STREAM,
  type Checkpoint,
} from './record.js';

/** Newest checkpoints that are looked at for one that is valid. */
const CHECKPOINTS_TRIED = 4;

/** A position that no stream has reached, to learn of a stream's ends only. */
const BEYOND_END = Number.MAX_SAFE_INTEGER;

/** Why an instance can't take up the configuration stream. */
export type ReplayStartFailure =
  | PlatformFailure
  /** The stream's beginning was dropped, and no checkpoint replaces it. */
  | {type: 'noCheckpoint'; first: number};

/**
 * Returns the newest checkpoint from which the stream can be replayed without
 * a gap, or undefined when the stream is there from its beginning and has no
 * checkpoint yet.
 */
export async function findReplayStart(
  log: Log,
): Promise<Result<Checkpoint | undefined, ReplayStartFailure>> {
  const stream = await log.read(CONFIGURATION_STREAM, {from: BEYOND_END});
  if (stream.isErr()) return err(stream.error);
  const {first} = stream.value;
  const checkpoint = await newestCheckpoint(log, first);
  if (checkpoint.isErr()) return err(checkpoint.error);
  if (checkpoint.value === undefined && first > 0) {
    return err({type: 'noCheckpoint', first});
  }
  return checkpoint;
}

/** Returns the newest checkpoint that reaches up to the record before `first`. */
async function newestCheckpoint(
  log: Log,
  first: number,
): Promise<Result<Checkpoint | undefined, PlatformFailure>> {
  const head = await log.read(CHECKPOINT_STREAM, {from: BEYOND_END});
  if (head.isErr()) return err(head.error);
  const oldest = Math.max(
    head.value.first,
    head.value.next - CHECKPOINTS_TRIED,
  );
  for (let from = head.value.next - 1; from >= oldest; from--) {
    const page = await log.read(CHECKPOINT_STREAM, {from, limit: 1});
    if (page.isErr()) return err(page.error);
    const parsed = checkpointSchema.safeParse(page.value.records[0]?.value);
    if (parsed.success && parsed.data.upTo + 1 >= first) return ok(parsed.data);
  }
  return ok(undefined);
}
