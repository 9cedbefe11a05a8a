import {
  publish,
  type Publication,
  type PublishFailure,
  type PublishParts,
} from '../config/index.js';

/** The outcome of publishing a document. */
export type PublishResult = Publication | PublishFailure;

/** Publishes configuration documents. */
export interface Publisher {
  /** Publishes a document that is based on configuration version `base`. */
  publish(document: unknown, base: number): Promise<PublishResult>;
}

/** Publishes by appending to the platform's log. */
export class LogPublisher implements Publisher {
  constructor(private readonly dependencies: PublishParts) {}

  async publish(document: unknown, base: number): Promise<PublishResult> {
    const result = await publish({base, document}, this.dependencies);
    return result.isOk() ? result.value : result.error;
  }
}
