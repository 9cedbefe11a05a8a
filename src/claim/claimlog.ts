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

/** Time after which this instance appends an entry itself. */
const OWNER_TIMEOUT_MS = 800;

/** Dependencies of [[ClaimLog]]. */
export interface ClaimLogParts {
  log: Log;
  timer: Timer;
  membership: Membership;
  client: PeerClient;
  server: PeerServer;
}

/**
 * Appends entries to the claims streams and reads the states of keys. Entries
 * are sent to the owner of their partition, which batches those of all
 * instances. If the owner does not respond, this instance appends the entry
 * itself; an entry that is then appended twice has the same effect as one.
 */
export class ClaimLog {
  readonly usage: ClaimUsage = {appends: 0, entries: 0, reads: 0, repeats: 0};
  private readonly partitions = new Map<number, Partition>();
  private readonly owners = new PartitionOwners();

  constructor(private readonly parts: ClaimLogParts) {
    parts.server.handle(SUBMIT_METHOD, params =>
      this.append(submitParamsSchema.parse(params)),
    );
  }

  /** Appends an entry. An urgent entry does not wait for others to batch. */
  async submit(entry: LogEntry, urgent: boolean): Promise<SubmitResult> {
    const partition = partitionOf(entry.key);
    const params = {partition, entry, urgent};
    const {membership, client} = this.parts;
    const owner = this.owners.ownerOf(partition, membership.live());
    if (owner === undefined || owner.name === membership.self().name) {
      return this.append(params);
    }
    const response = await client.call(
      owner,
      SUBMIT_METHOD,
      params,
      OWNER_TIMEOUT_MS,
    );
    const parsed = submitResultSchema.safeParse(response.unwrapOr(undefined));
    if (parsed.success && parsed.data.type !== 'failed') return parsed.data;
    return this.append(params);
  }

  /** Reads the state of a key from the log; undefined if the read fails. */
  async readState(key: string): Promise<KeyState | undefined> {
    const state = await this.partition(partitionOf(key)).readState(key);
    return state.unwrapOr(undefined);
  }

  /** State of a key after the records that this instance has read. */
  lastReadState(key: string): KeyState {
    return this.partition(partitionOf(key)).lastReadState(key);
  }

  /** Forgets keys with no entry since `before`, in Unix ms. */
  expire(before: number): void {
    for (const partition of this.partitions.values()) partition.expire(before);
  }

  /** Number of known keys. */
  get size(): number {
    let sum = 0;
    for (const {size} of this.partitions.values()) sum += size;
    return sum;
  }

  private async append({
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
