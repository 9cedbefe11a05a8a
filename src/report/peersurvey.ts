import type {Membership, PeerClient, PeerFailure} from '../instance/index.js';
import type {Result} from 'neverthrow';
import {z} from 'zod';
import type {SilentInstance} from './burn.js';

const GATHER_TIMEOUT_MS = 2_000;
/** Calls that run at once while gathering. */
const PARALLEL_CALLS = 32;

/** Methods by which instances gather reports from each other. */
export enum ReportMethod {
  Account = 'report.account',
  Trace = 'report.trace',
  View = 'report.view',
}

/** The answers of live peers, and the peers that gave none. */
export interface Gathering<Answer> {
  answers: Answer[];
  silent: SilentInstance[];
}

/** Asks all live peers the same question. */
export class PeerSurvey {
  constructor(
    private readonly membership: Membership,
    private readonly client: PeerClient,
  ) {}

  /** Calls `method` at every live peer and checks the answers. */
  async ask<Answer>(
    method: ReportMethod,
    params: unknown,
    schema: z.ZodType<Answer>,
  ): Promise<Gathering<Answer>> {
    const gathering: Gathering<Answer> = {answers: [], silent: []};
    const self = this.membership.self().name;
    const peers = this.membership.live().filter(({name}) => name !== self);
    const next = peers[Symbol.iterator]();
    const work = async () => {
      for (const peer of next) {
        const answer = await this.client.call(
          peer,
          method,
          params,
          GATHER_TIMEOUT_MS,
        );
        sort(peer.name, answer, schema, gathering);
      }
    };
    await Promise.all(Array.from({length: PARALLEL_CALLS}, work));
    gathering.silent.sort((a, b) => a.instance.localeCompare(b.instance));
    return gathering;
  }
}

function sort<Answer>(
  instance: string,
  answer: Result<unknown, PeerFailure>,
  schema: z.ZodType<Answer>,
  gathering: Gathering<Answer>,
): void {
  if (answer.isErr()) {
    gathering.silent.push({instance, failure: answer.error.type});
    return;
  }
  const parsed = schema.safeParse(answer.value);
  if (parsed.success) gathering.answers.push(parsed.data);
  else gathering.silent.push({instance, failure: 'malformedAnswer'});
}
