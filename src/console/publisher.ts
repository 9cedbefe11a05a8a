import {v7 as uuidv7} from 'uuid';
import {
  checkDocument,
  CONFIGURATION_STREAM,
  type Follower,
  type Verdict,
} from '../config/index.js';
import type {Log} from '../platform/index.js';
import type {Timer} from '../timer/index.js';

const VERDICT_TIMEOUT_MS = 10_000;
const VERDICT_POLL_MS = 20;

/** How publishing a document ended. */
export type Publication =
  | Verdict
  /** The log gave no verdict in time; the document may yet take effect. */
  | {type: 'verdictTimeout'; id: string};

/** Publishes configuration documents. */
export interface Publisher {
  /** Publishes a document that was made from version `base`. */
  publish(document: unknown, base: number): Promise<Publication>;
}

/** Publishes on the log and waits until this instance has read the verdict. */
export class LogPublisher implements Publisher {
  constructor(
    private readonly log: Log,
    private readonly follower: Follower,
    private readonly timer: Timer,
  ) {}

  async publish(document: unknown, base: number): Promise<Publication> {
    const id = uuidv7();
    const checked = checkDocument(document);
    if (checked.isErr()) {
      return {type: 'invalid', id, problems: checked.error.problems};
    }
    const end = this.timer.now() + VERDICT_TIMEOUT_MS;
    const record = {type: 'submission', id, base, document};
    await this.log.append(CONFIGURATION_STREAM, record);
    for (;;) {
      const verdict = this.follower.verdictOn(id);
      if (verdict !== undefined) return verdict;
      if (this.timer.now() >= end) return {type: 'verdictTimeout', id};
      await this.timer.sleep(VERDICT_POLL_MS);
    }
  }
}
