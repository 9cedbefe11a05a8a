import type {EventSourceMessage} from 'eventsource-parser';

/** The upstream stream that an answer comes from. */
export interface StreamSource {
  /** Name of the upstream. */
  upstream: string;
  /** Id of the stream on the upstream. */
  stream: string;
}

/** Receiver of the answer of an upstream. */
export interface AnswerSink {
  /**
   * Called once with the status and the content type, before the other methods.
   * `source` is given if the answer is a stream that can be resumed.
   */
  head(status: number, contentType: string, source?: StreamSource): void;
  /** Delivers one event of a stream; resolves when the caller can take more. */
  event(event: EventSourceMessage): Promise<void>;
  /** Delivers the complete body of an answer that is not streamed. */
  whole(body: Buffer): void;
}
