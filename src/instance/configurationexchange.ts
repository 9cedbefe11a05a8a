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
/** Peers asked for their version at a time. */
const PEERS_ASKED = 5;

const versionSchema = z.object({version: z.number().int()});
const documentSchema = z.object({
  version: z.number().int(),
  upTo: z.number().int(),
  document: z.unknown(),
});

/** Passes accepted configurations between the instances of a fleet. */
export class ConfigurationExchange implements ConfigurationPeers {
  constructor(
    private readonly membership: Membership,
    private readonly client: PeerClient,
    private readonly random: () => number,
  ) {}

  /** Answers peers with what `follower` holds in force. */
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
    const versions = this.others().map(
      ({status}) => status.configurationVersion,
    );
    return Math.max(0, ...versions);
  }

  rank(key: string): number {
    const own = weight(key, this.membership.self().name);
    return this.others().filter(({name}) => weight(key, name) > own).length;
  }

  size(): number {
    return this.membership.live().length;
  }

  async fetch(above: number): Promise<PeerFetchResult> {
    const peers = sample(this.others(), PEERS_ASKED, this.random);
    const told = await Promise.all(peers.map(peer => this.versionAt(peer)));
    const answered = told.filter(version => version !== undefined).length;
    const newest = Math.max(above, ...told.map(version => version ?? 0));
    const holder = peers[told.indexOf(newest)];
    if (newest === above || holder === undefined) return {answered};
    const newer = await this.documentAt(holder);
    return newer === undefined ? {answered} : {answered, newer};
  }

  private others(): Member[] {
    const self = this.membership.self();
    return this.membership.live().filter(({name}) => name !== self.name);
  }

  private async versionAt(peer: Member): Promise<number | undefined> {
    const answer = await this.client.call(
      peer,
      VERSION_METHOD,
      {},
      CALL_TIMEOUT_MS,
    );
    const parsed = versionSchema.safeParse(answer.unwrapOr(undefined));
    return parsed.success ? parsed.data.version : undefined;
  }

  private async documentAt(
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

/** Weight of an instance for a key; the highest comes first. */
function weight(key: string, name: string): string {
  return createHash('sha256').update(`${key} ${name}`).digest('hex');
}
