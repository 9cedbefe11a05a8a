import type {Membership, PeerClient, PeerServer} from '../instance/index.js';
import type {Log} from '../platform/index.js';
import type {Timer} from '../timer/index.js';
import {PartitionOwners} from './partitionowners.js';
import {partitionOf} from './key.js';
import {
  SUBMIT_METHOD,
  submitParamsSchema,
  submitResultSchema,
  type SubmitParams,
  type SubmitResult,
} from './message.js';
import {Partition, type ClaimUsage} from './partition.js';
import type {LogEntry} from './record.js';
import type {KeyState} from './keystates.js';

const HOME_TIMEOUT_MS = 800;

/** What a [[Desk]] needs of the rest of the instance. */
export interface ClaimLogParts {
  log: Log;
  timer: Timer;
  membership: Membership;
  client: PeerClient;
  server: PeerServer;
}

/**
 * Gets entries into the claims streams: through the home instance of their
 * partition, which batches them with those of others, or, when the home does
 * not answer, by appending them itself. An entry appended twice counts once.
 */
export class ClaimLog {
  readonly usage: ClaimUsage = {appends: 0, entries: 0, reads: 0, repeats: 0};
  private readonly partitions = new Map<number, Partition>();
  private readonly homes = new PartitionOwners();

  constructor(private readonly parts: ClaimLogParts) {
    parts.server.handle(SUBMIT_METHOD, params =>
      this.serve(submitParamsSchema.parse(params)),
    );
  }

  /** Submits an entry; an urgent one is not held back for a fuller batch. */
  async submit(entry: LogEntry, urgent: boolean): Promise<SubmitResult> {
    const partition = partitionOf(entry.key);
    const submission = {partition, entry, urgent};
    const {membership, client} = this.parts;
    const home = this.homes.ownerOf(partition, membership.live());
    if (home === undefined || home.name === membership.self().name) {
      return this.serve(submission);
    }
    const answer = await client.call(
      home,
      SUBMIT_METHOD,
      submission,
      HOME_TIMEOUT_MS,
    );
    const parsed = submitResultSchema.safeParse(answer.unwrapOr(undefined));
    if (parsed.success && parsed.data.type !== 'failed') return parsed.data;
    return this.serve(submission);
  }

  /** Reads the log for the state of a key; undefined when it can't. */
  async readState(key: string): Promise<KeyState | undefined> {
    const state = await this.partition(partitionOf(key)).readState(key);
    return state.unwrapOr(undefined);
  }

  /** The state of a key as far as this instance has read. */
  lastReadState(key: string): KeyState {
    return this.partition(partitionOf(key)).lastReadState(key);
  }

  /** Forgets keys untouched since `before`, wall-clock ms. */
  expire(before: number): void {
    for (const partition of this.partitions.values()) partition.expire(before);
  }

  /** Number of keys remembered. */
  get size(): number {
    let sum = 0;
    for (const {size} of this.partitions.values()) sum += size;
    return sum;
  }

  private async serve({
    partition,
    entry,
    urgent,
  }: SubmitParams): Promise<SubmitResult> {
    const target = this.partition(partition);
    if (entry.type === 'claim') {
      const verdict = await target.claim(entry);
      return verdict.unwrapOr({type: 'failed' as const});
    }
    const recorded = await target.record(entry, urgent);
    return {type: recorded.isOk() ? 'recorded' : 'failed'};
  }

  private partition(number: number): Partition {
    const known = this.partitions.get(number);
    if (known !== undefined) return known;
    const {log, timer} = this.parts;
    const partition = new Partition(number, log, timer, this.usage);
    this.partitions.set(number, partition);
    return partition;
  }
}
