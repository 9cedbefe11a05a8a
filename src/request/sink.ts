import type {EventSourceMessage} from 'eventsource-parser';

/** Which stream of which upstream an answer comes from. */
export interface StreamSource {
  upstream: string;
  /** Id of the stream at the upstream. */
  stream: string;
}

/** Where an attempt delivers what the upstream answers. */
export interface AnswerSink {
  /** Called once, before anything else, when the answer starts. */
  head(status: number, contentType: string, source?: StreamSource): void;
  /** Delivers one event of a stream; awaits the caller's back-pressure. */
  event(event: EventSourceMessage): Promise<void>;
  /** Delivers a whole answer that was not streamed. */
  whole(body: Buffer): void;
}
