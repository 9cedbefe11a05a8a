import {createHash} from 'node:crypto';
import {z} from 'zod';
import {
  checkAcceptedDocument,
  type ConfigurationPeers,
  type ConfigurationFollower,
  type PeerConfiguration,
  type PeerFetchResult,
} from '../config/index.js';
import type {Member, Membership} from './member.js';
import type {PeerClient, PeerServer} from './peerrpc.js';
import {sample} from './probeorder.js';

const VERSION_METHOD = 'configuration.version';
const DOCUMENT_METHOD = 'configuration.document';
const CALL_TIMEOUT_MS = 2_000;
/** Peers that one fetch asks for their version. */
const PEERS_PER_FETCH = 5;

const versionSchema = z.object({version: z.number().int()});
const documentSchema = z.object({
  version: z.number().int(),
  upTo: z.number().int(),
  document: z.unknown(),
});

/** Exchanges accepted configurations with the other instances of the fleet. */
export class ConfigurationExchange implements ConfigurationPeers {
  constructor(
    private readonly membership: Membership,
    private readonly client: PeerClient,
    private readonly random: () => number,
  ) {}

  /** Registers the methods that return the configuration of `follower`. */
  serve(server: PeerServer, follower: ConfigurationFollower): void {
    server.handle(VERSION_METHOD, () =>
      Promise.resolve({version: follower.current()?.version ?? 0}),
    );
    server.handle(DOCUMENT_METHOD, () => {
      const {version = 0, document = null} = follower.current() ?? {};
      return Promise.resolve({
        version,
        document,
        upTo: follower.lastReadOffset,
      });
    });
  }

  newestVersion(): number {
    const versions = this.otherMembers().map(
      ({status}) => status.configurationVersion,
    );
    return Math.max(0, ...versions);
  }

  rank(key: string): number {
    const ownWeight = rendezvousWeight(key, this.membership.self().name);
    return this.otherMembers().filter(
      ({name}) => rendezvousWeight(key, name) > ownWeight,
    ).length;
  }

  size(): number {
    return this.membership.live().length;
  }

  async fetch(above: number): Promise<PeerFetchResult> {
    const peers = sample(this.otherMembers(), PEERS_PER_FETCH, this.random);
    const versions = await Promise.all(
      peers.map(peer => this.fetchVersion(peer)),
    );
    const answered = versions.filter(version => version !== undefined).length;
    const newest = Math.max(above, ...versions.map(version => version ?? 0));
    const newestPeer = peers[versions.indexOf(newest)];
    if (newest === above || newestPeer === undefined) return {answered};
    const newer = await this.fetchDocument(newestPeer);
    return newer === undefined ? {answered} : {answered, newer};
  }

  private otherMembers(): Member[] {
    const self = this.membership.self();
    return this.membership.live().filter(({name}) => name !== self.name);
  }

  private async fetchVersion(peer: Member): Promise<number | undefined> {
    const answer = await this.client.call(
      peer,
      VERSION_METHOD,
      {},
      CALL_TIMEOUT_MS,
    );
    const parsed = versionSchema.safeParse(answer.unwrapOr(undefined));
    return parsed.success ? parsed.data.version : undefined;
  }

  private async fetchDocument(
    peer: Member,
  ): Promise<PeerConfiguration | undefined> {
    const answer = await this.client.call(
      peer,
      DOCUMENT_METHOD,
      {},
      CALL_TIMEOUT_MS,
    );
    const parsed = documentSchema.safeParse(answer.unwrapOr(undefined));
    if (!parsed.success) return undefined;
    const {version, upTo, document} = parsed.data;
    const checked = checkAcceptedDocument(version, document);
    return checked.isErr() ? undefined : {...checked.value, upTo};
  }
}

/** Rendezvous hash of an instance for a key; the highest has rank 0. */
function rendezvousWeight(key: string, name: string): string {
  return createHash('sha256').update(`${key} ${name}`).digest('hex');
}
