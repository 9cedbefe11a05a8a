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
/** Mean time between two comparisons with a random peer, in ms. */
const SYNC_PERIOD_MS = 30_000;
/** First and longest time between attempts to reach a missing seed, in ms. */
const JOIN_DELAY_MS = 250;
const JOIN_DELAY_LIMIT_MS = 15_000;
const DIGEST_LENGTH = 16;

/** What a [[Synchronizer]] works with. */
export interface SynchronizerParts {
  client: PeerClient;
  server: PeerServer;
  timer: Timer;
  logger: Logger;
  random: () => number;
}

/**
 * Compares what two instances know, over TCP: with the seeds in order to join,
 * and with a random peer now and then, which repairs what datagrams lost. Only
 * digests are exchanged while both know the same.
 */
export class Synchronizer {
  private readonly stopping = new AbortController();
  private listed: readonly PeerAddress[] = [];
  private tasks: Array<Promise<void>> = [];

  constructor(
    private readonly fleet: GossipMembership,
    private readonly seeds: readonly PeerAddress[],
    private readonly parts: SynchronizerParts,
  ) {
    parts.server.handle(SYNC_METHOD, params =>
      Promise.resolve(this.answer(syncMessageSchema.parse(params))),
    );
  }

  /**
   * Asks the seeds once and takes part from then on, whoever answered. Seeds
   * that did not are asked again in the background.
   */
  async start(): Promise<void> {
    await this.join();
    this.fleet.completeJoin();
    this.tasks = [this.keepJoining(), this.keepComparing()];
  }

  async stop(): Promise<void> {
    this.stopping.abort();
    await Promise.all(this.tasks);
  }

  /** Replaces the addresses at which the platform lists instances. */
  setListedAddresses(addresses: readonly PeerAddress[]): void {
    this.listed = addresses;
  }

  private async join(): Promise<void> {
    const missing = this.missing();
    const [one, ...rest] = sample(missing, missing.length, this.parts.random);
    if (one === undefined) return;
    if (await this.compare(one)) return;
    await Promise.all(rest.map(seed => this.compare(seed)));
  }

  /** Seeds and listed addresses at which no live member is known. */
  private missing(): PeerAddress[] {
    const found = new Set(this.fleet.live().map(textOf));
    const candidates = [...this.seeds, ...this.listed];
    return candidates.filter(seed => !found.has(textOf(seed)));
  }

  private async keepJoining(): Promise<void> {
    const {timer, random} = this.parts;
    const {signal} = this.stopping;
    let delay = JOIN_DELAY_MS;
    while (!signal.aborted) {
      await timer.sleep(delay * (0.5 + random()), signal);
      const missing = this.missing();
      if (missing.length === 0) {
        delay = JOIN_DELAY_LIMIT_MS;
        continue;
      }
      const [seed] = sample(missing, 1, random);
      const reached = seed !== undefined && (await this.compare(seed));
      delay = Math.min(JOIN_DELAY_LIMIT_MS, reached ? delay : delay * 2);
    }
  }

  private async keepComparing(): Promise<void> {
    const {timer, random} = this.parts;
    const {signal} = this.stopping;
    while (!signal.aborted) {
      await timer.sleep(SYNC_PERIOD_MS * (0.5 + random()), signal);
      const peers = this.fleet
        .live()
        .filter(member => member !== this.fleet.self());
      const [peer] = sample(peers, 1, random);
      if (peer !== undefined && !signal.aborted) await this.compare(peer);
    }
  }

  /** Compares with one peer and learns what it knows more, and it likewise. */
  private async compare(peer: PeerAddress): Promise<boolean> {
    const answer = await this.call(peer, this.digested());
    if (answer === undefined) return false;
    this.take(answer);
    if (answer.digest !== this.digest()) await this.call(peer, this.whole());
    return true;
  }

  private async call(
    peer: PeerAddress,
    sync: SyncMessage,
  ): Promise<SyncMessage | undefined> {
    const answer = await this.parts.client.call(
      peer,
      SYNC_METHOD,
      sync,
      SYNC_TIMEOUT_MS,
    );
    if (answer.isErr()) {
      this.parts.logger.debug({failure: answer.error}, 'Peer not reached.');
      return undefined;
    }
    const parsed = syncMessageSchema.safeParse(answer.value);
    return parsed.success ? parsed.data : undefined;
  }

  private answer(sync: SyncMessage): SyncMessage {
    this.take(sync);
    return sync.digest === this.digest() ? this.digested() : this.whole();
  }

  private take(sync: SyncMessage): void {
    const {from, members = [], statuses = [], items = []} = sync;
    this.fleet.merge({members: [from, ...members], statuses, items});
  }

  private digested(): SyncMessage {
    return {from: recordOf(this.fleet.self()), digest: this.digest()};
  }

  private whole(): SyncMessage {
    return {
      ...this.digested(),
      members: this.fleet.records(),
      statuses: this.fleet.statuses(),
      items: this.fleet.items(),
    };
  }

  private digest(): string {
    const hash = createHash('sha256').update(
      digestMembers(this.fleet.records()),
    );
    const lines = this.fleet.items().map(item => JSON.stringify(item));
    for (const line of lines.sort()) hash.update(line);
    return hash.digest('base64url').slice(0, DIGEST_LENGTH);
  }
}

function textOf({host, port}: PeerAddress): string {
  return `${host}:${port}`;
}
