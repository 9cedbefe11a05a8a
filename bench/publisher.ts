import {v7 as uuidv7} from 'uuid';
import {LogSession} from '../src/cli/logsession.js';
import {
  CONFIGURATION_STREAM,
  type ConfigurationDraft,
  type PublishFailure,
} from '../src/config/index.js';
import type {Cluster} from './cluster.js';
import {
  SubmissionOutcome,
  type History,
  type LoggedSubmission,
} from './history.js';
import {withChangedWorkspace} from './slope/documents.js';

/** Publishes configurations in a fault run, through the log with its faults. */
export class Publisher {
  private variantCount = 0;

  private constructor(
    private readonly cluster: Cluster,
    private readonly session: LogSession,
    private readonly history: History,
  ) {}

  static async open(
    cluster: Cluster,
    history: History,
  ): Promise<Publisher | undefined> {
    const session = await LogSession.open(cluster.log.proxy.url);
    if (session === undefined) return undefined;
    return new Publisher(cluster, session, history);
  }

  /**
   * Publishes `count` variants of a document concurrently, all based on the
   * newest known version.
   */
  async publish(
    count: number,
    document: ConfigurationDraft = this.cluster.document,
  ): Promise<void> {
    const base = this.session.follower.current()?.version ?? 0;
    const documents = Array.from({length: count}, () =>
      withChangedWorkspace(document, ++this.variantCount),
    );
    await Promise.all(documents.map(variant => this.publishOne(base, variant)));
  }

  /** Records the submissions in the log and closes the session. */
  async close(): Promise<void> {
    this.history.records.push(...(await readRecords(this.cluster)));
    await this.session.close();
  }

  private async publishOne(
    base: number,
    document: ConfigurationDraft,
  ): Promise<void> {
    const id = uuidv7();
    const result = await this.session.publish({base, document}, {id});
    if (result.isErr()) {
      this.history.submissions.push({id, told: toldOfFailure(result.error)});
      return;
    }
    const {version} = result.value;
    this.history.submissions.push({
      id,
      told: SubmissionOutcome.Accepted,
      version,
    });
  }
}

function toldOfFailure(failure: PublishFailure): SubmissionOutcome {
  switch (failure.type) {
    case 'conflict':
    case 'invalid':
      return SubmissionOutcome.Refused;
    case 'verdictTimeout':
      return failure.sent
        ? SubmissionOutcome.Unknown
        : SubmissionOutcome.NotSent;
  }
}

async function readRecords(cluster: Cluster): Promise<LoggedSubmission[]> {
  const url = `${cluster.log.url}/streams/${CONFIGURATION_STREAM}/records`;
  const answer = await fetch(`${url}?from=0&limit=10000`);
  const page = (await answer.json()) as {
    records: Array<{offset: number; value: {id?: string; base?: number}}>;
  };
  return page.records.flatMap(({offset, value: {id, base}}) =>
    id === undefined || base === undefined ? [] : [{offset, id, base}],
  );
}
