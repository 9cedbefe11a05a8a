import type {Membership, PeerClient, PeerFailure} from '../instance/index.js';
import type {Result} from 'neverthrow';
import {z} from 'zod';
import type {SilentInstance} from './burn.js';

const PEER_CALL_TIMEOUT_MS = 2_000;
const MAX_CONCURRENT_CALLS = 32;

/** RPC methods by which instances collect report data from each other. */
export enum ReportMethod {
  Account = 'report.account',
  Trace = 'report.trace',
  View = 'report.view',
}

/** Answers of live peers, and the peers without a valid answer. */
export interface PeerAnswers<Answer> {
  answers: Answer[];
  /** Sorted by instance name. */
  silent: SilentInstance[];
}

/** Calls the same RPC method on all live peers. */
export class PeerSurvey {
  constructor(
    private readonly membership: Membership,
    private readonly client: PeerClient,
  ) {}

  /**
   * Calls `method` on every live peer. Answers that do not match `schema` count
   * as failed calls.
   */
  async ask<Answer>(
    method: ReportMethod,
    params: unknown,
    schema: z.ZodType<Answer>,
  ): Promise<PeerAnswers<Answer>> {
    const peerAnswers: PeerAnswers<Answer> = {answers: [], silent: []};
    const self = this.membership.self().name;
    const peers = this.membership.live().filter(({name}) => name !== self);
    const pendingPeers = peers[Symbol.iterator]();
    const callPeers = async () => {
      for (const peer of pendingPeers) {
        const answer = await this.client.call(
          peer,
          method,
          params,
          PEER_CALL_TIMEOUT_MS,
        );
        addAnswer(peer.name, answer, schema, peerAnswers);
      }
    };
    await Promise.all(Array.from({length: MAX_CONCURRENT_CALLS}, callPeers));
    peerAnswers.silent.sort((a, b) => a.instance.localeCompare(b.instance));
    return peerAnswers;
  }
}

function addAnswer<Answer>(
  instance: string,
  answer: Result<unknown, PeerFailure>,
  schema: z.ZodType<Answer>,
  peerAnswers: PeerAnswers<Answer>,
): void {
  if (answer.isErr()) {
    peerAnswers.silent.push({instance, failure: answer.error.type});
    return;
  }
  const parsed = schema.safeParse(answer.value);
  if (parsed.success) peerAnswers.answers.push(parsed.data);
  else peerAnswers.silent.push({instance, failure: 'malformedAnswer'});
}
