import {
  publish,
  type Publication,
  type PublishFailure,
  type PublishParts,
} from '../config/index.js';

/** How publishing a document ended. */
export type PublishResult = Publication | PublishFailure;

/** Publishes configuration documents. */
export interface Publisher {
  /** Publishes a document that was made from version `base`. */
  publish(document: unknown, base: number): Promise<PublishResult>;
}

/** Publishes on the platform's log. */
export class LogPublisher implements Publisher {
  constructor(private readonly dependencies: PublishParts) {}

  async publish(document: unknown, base: number): Promise<PublishResult> {
    const result = await publish({base, document}, this.dependencies);
    return result.isOk() ? result.value : result.error;
  }
}
