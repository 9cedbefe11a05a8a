import {err, ok, type Result} from 'neverthrow';
import type {Log, PlatformFailure} from '../platform/index.js';
import {
  CHECKPOINT_STREAM,
  checkpointSchema,
  CONFIGURATION_STREAM,
  type Checkpoint,
} from './record.js';

/** Number of newest checkpoints among which a usable one is sought. */
const MAX_CHECKPOINTS_TRIED = 4;

/** An offset past the end of any stream; a read returns only its bounds. */
const OFFSET_BEYOND_END = Number.MAX_SAFE_INTEGER;

/** Why an instance can't start to replay the configuration stream. */
export type ReplayStartFailure =
  | PlatformFailure
  /** The log dropped the stream's first records; no checkpoint covers them. */
  | {type: 'noCheckpoint'; first: number};

/**
 * Returns the newest checkpoint from which the stream can be replayed without
 * missing records, or undefined when there is none and the stream still starts
 * at its first record. With `historySince`, prefers a start from which every
 * revision after that version is replayed, if the log still has one.
 */
export async function findReplayStart(
  log: Log,
  historySince = Infinity,
): Promise<Result<Checkpoint | undefined, ReplayStartFailure>> {
  const stream = await log.read(CONFIGURATION_STREAM, {
    from: OFFSET_BEYOND_END,
  });
  if (stream.isErr()) return err(stream.error);
  const {first} = stream.value;
  const older = await newestCheckpoint(log, first, historySince);
  if (older.isErr()) return err(older.error);
  if (older.value !== undefined || first === 0) return ok(older.value);
  const newest = await newestCheckpoint(log, first, Infinity);
  if (newest.isErr()) return err(newest.error);
  if (newest.value === undefined) return err({type: 'noCheckpoint', first});
  return ok(newest.value);
}

/**
 * Returns the newest checkpoint that covers all records before `first` and
 * whose version is at most `maxVersion`.
 */
async function newestCheckpoint(
  log: Log,
  first: number,
  maxVersion: number,
): Promise<Result<Checkpoint | undefined, PlatformFailure>> {
  const bounds = await log.read(CHECKPOINT_STREAM, {from: OFFSET_BEYOND_END});
  if (bounds.isErr()) return err(bounds.error);
  const oldest = Math.max(
    bounds.value.first,
    bounds.value.next - MAX_CHECKPOINTS_TRIED,
  );
  for (let from = bounds.value.next - 1; from >= oldest; from--) {
    const page = await log.read(CHECKPOINT_STREAM, {from, limit: 1});
    if (page.isErr()) return err(page.error);
    const parsed = checkpointSchema.safeParse(page.value.records[0]?.value);
    if (!parsed.success || parsed.data.version > maxVersion) continue;
    if (parsed.data.upTo + 1 >= first) return ok(parsed.data);
  }
  return ok(undefined);
}
