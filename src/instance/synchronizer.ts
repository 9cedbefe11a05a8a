import {createHash} from 'node:crypto';
import type {Logger} from 'pino';
import type {Timer} from '../timer/index.js';
import type {GossipMembership} from './gossipmembership.js';
import {syncMessageSchema, type SyncMessage} from './message.js';
import type {PeerAddress, PeerClient, PeerServer} from './peerrpc.js';
import {sample} from './probeorder.js';
import {recordOf, digestMembers} from './roster.js';

const SYNC_METHOD = 'membership.sync';
const SYNC_TIMEOUT_MS = 2_000;
/** Mean time between two syncs with a random peer, in ms. */
const SYNC_PERIOD_MS = 30_000;
/** First and longest back-off between attempts to reach a seed, in ms. */
const MIN_JOIN_BACKOFF_MS = 250;
const MAX_JOIN_BACKOFF_MS = 15_000;
/** Length of a digest, in base64url characters. */
const DIGEST_LENGTH = 16;

/** Dependencies of [[Synchronizer]]. */
export interface SynchronizerParts {
  client: PeerClient;
  server: PeerServer;
  timer: Timer;
  logger: Logger;
  /** Source of randomness in [0, 1). */
  random: () => number;
}

/**
 * Anti-entropy over TCP: compares members and topic items with a peer and
 * merges the differences. It syncs with the seeds in order to join, and now and
 * then with a random peer in order to recover from lost datagrams. If both know
 * the same, only digests are exchanged.
 */
export class Synchronizer {
  private readonly stopping = new AbortController();
  private listedAddresses: readonly PeerAddress[] = [];
  private tasks: Array<Promise<void>> = [];

  constructor(
    private readonly membership: GossipMembership,
    private readonly seeds: readonly PeerAddress[],
    private readonly parts: SynchronizerParts,
  ) {
    parts.server.handle(SYNC_METHOD, params =>
      Promise.resolve(this.handleSync(syncMessageSchema.parse(params))),
    );
  }

  /**
   * Tries to join through the seeds once, and completes the join even if none
   * answered. Seeds that did not answer are retried in the background.
   */
  async start(): Promise<void> {
    await this.joinSeeds();
    this.membership.completeJoin();
    this.tasks = [this.runJoinLoop(), this.runSyncLoop()];
  }

  async stop(): Promise<void> {
    this.stopping.abort();
    await Promise.all(this.tasks);
  }

  /** Replaces the addresses of live instances on the platform's list. */
  setListedAddresses(addresses: readonly PeerAddress[]): void {
    this.listedAddresses = addresses;
  }

  private async joinSeeds(): Promise<void> {
    const missing = this.missingAddresses();
    const [first, ...rest] = sample(missing, missing.length, this.parts.random);
    if (first === undefined) return;
    if (await this.syncWith(first)) return;
    await Promise.all(rest.map(seed => this.syncWith(seed)));
  }

  /** Seeds and listed addresses that no known live member has. */
  private missingAddresses(): PeerAddress[] {
    const liveAddresses = new Set(
      this.membership.live().map(formatPeerAddress),
    );
    const candidates = [...this.seeds, ...this.listedAddresses];
    return candidates.filter(
      seed => !liveAddresses.has(formatPeerAddress(seed)),
    );
  }

  private async runJoinLoop(): Promise<void> {
    const {timer, random} = this.parts;
    const {signal} = this.stopping;
    let backoffMs = MIN_JOIN_BACKOFF_MS;
    while (!signal.aborted) {
      await timer.sleep(backoffMs * (0.5 + random()), signal);
      const missing = this.missingAddresses();
      if (missing.length === 0) {
        backoffMs = MAX_JOIN_BACKOFF_MS;
        continue;
      }
      const [seed] = sample(missing, 1, random);
      const reached = seed !== undefined && (await this.syncWith(seed));
      backoffMs = Math.min(
        MAX_JOIN_BACKOFF_MS,
        reached ? backoffMs : backoffMs * 2,
      );
    }
  }

  private async runSyncLoop(): Promise<void> {
    const {timer, random} = this.parts;
    const {signal} = this.stopping;
    while (!signal.aborted) {
      await timer.sleep(SYNC_PERIOD_MS * (0.5 + random()), signal);
      const peers = this.membership
        .live()
        .filter(member => member !== this.membership.self());
      const [peer] = sample(peers, 1, random);
      if (peer !== undefined && !signal.aborted) await this.syncWith(peer);
    }
  }

  /**
   * Syncs with one peer: both merge what the other one knows. Returns whether
   * the peer answered.
   */
  private async syncWith(peer: PeerAddress): Promise<boolean> {
    const answer = await this.send(peer, this.digestSync());
    if (answer === undefined) return false;
    this.mergeSync(answer);
    if (answer.digest !== this.digest()) await this.send(peer, this.fullSync());
    return true;
  }

  private async send(
    peer: PeerAddress,
    message: SyncMessage,
  ): Promise<SyncMessage | undefined> {
    const answer = await this.parts.client.call(
      peer,
      SYNC_METHOD,
      message,
      SYNC_TIMEOUT_MS,
    );
    if (answer.isErr()) {
      this.parts.logger.debug(
        {failure: answer.error},
        'Sync with a peer failed.',
      );
      return undefined;
    }
    const parsed = syncMessageSchema.safeParse(answer.value);
    return parsed.success ? parsed.data : undefined;
  }

  private handleSync(message: SyncMessage): SyncMessage {
    this.mergeSync(message);
    return message.digest === this.digest()
      ? this.digestSync()
      : this.fullSync();
  }

  private mergeSync(message: SyncMessage): void {
    const {from, members = [], statuses = [], items = []} = message;
    this.membership.merge({members: [from, ...members], statuses, items});
  }

  private digestSync(): SyncMessage {
    return {from: recordOf(this.membership.self()), digest: this.digest()};
  }

  private fullSync(): SyncMessage {
    return {
      ...this.digestSync(),
      members: this.membership.records(),
      statuses: this.membership.statuses(),
      items: this.membership.items(),
    };
  }

  private digest(): string {
    const hash = createHash('sha256').update(
      digestMembers(this.membership.records()),
    );
    const lines = this.membership.items().map(item => JSON.stringify(item));
    for (const line of lines.sort()) hash.update(line);
    return hash.digest('base64url').slice(0, DIGEST_LENGTH);
  }
}

function formatPeerAddress({host, port}: PeerAddress): string {
  return `${host}:${port}`;
}
