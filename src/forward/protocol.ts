import type {IncomingMessage} from 'node:http';

/** A part of a prompt that engines cache as one. */
export interface PromptPart {
  id: string;
  tokens: number;
}

/** What a generation is going to cost. */
export interface Prompt {
  model: string;
  /** In the order of the prompt; the last belongs to the request alone. */
  parts: PromptPart[];
  /** Tokens of the whole prompt. */
  tokens: number;
  /** Most tokens of the answer. */
  outputTokens: number;
  /** Tokens of the answer as the caller expects them. */
  expectedTokens?: number;
}

/** The head of a caller's request. */
export interface RequestHead {
  /** Empty if the caller gave none. */
  id: string;
  method: string;
  /** Path and query, as they came. */
  target: string;
  /** In lower case, without a port. */
  host: string;
  key?: string;
  /** Time for which the caller waits from now, in ms. */
  callerTimeoutMs?: number;
  prompt?: Prompt;
  /** The last event the caller has of a stream that it resumes. */
  lastEvent?: string;
  /** Headers for the upstream: names and values by turns. */
  forwardedHeaders: string[];
}

/** What the instance tells an upstream beside the caller's own words. */
export interface RequestMetadata {
  /** Id that the upstream must have. */
  upstream: string;
  /** Time that is left for the answer, in ms. */
  remainingMs: number;
  workspace?: string;
  /** Priority at an engine; 0 is the most urgent. */
  tier?: number;
  /** Event after which a stream goes on. */
  lastEvent?: string;
}

/** Load of an upstream by its own word. */
export interface LoadReport {
  running: number;
  waiting: number;
  slots: number;
}

/** The head of an upstream's answer. */
export interface ResponseHead {
  /** Id of the request that it answers. */
  request?: string;
  /** Whether the upstream says that it did not run the request. */
  notRun: boolean;
  /** Whether it carries the mark of an upstream's own answer. */
  sealed: boolean;
  isEventStream: boolean;
  /** Whether the body is not as the upstream made it. */
  encoded: boolean;
  load?: LoadReport;
  /** Headers for the caller: names and values by turns. */
  forwardedHeaders: string[];
}

/** Headers of an answer, with names in lower case. */
export type ResponseHeaders = Record<string, string | string[] | undefined>;

/** The headers by which callers and upstreams say what they mean. */
export interface Protocol {
  /** Target at which engines answer at once, whatever their load. */
  readonly probeTarget: string;
  readRequest(message: IncomingMessage): RequestHead;
  /** Headers of the request to the upstream: names and values by turns. */
  writeRequest(head: RequestHead, envelope: RequestMetadata): string[];
  readResponse(status: number, headers: ResponseHeaders): ResponseHead;
  /** Whether a refusal with the status promises that nothing ran. */
  impliesNotRun(status: number): boolean;
}
