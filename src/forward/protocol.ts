import type {IncomingMessage} from 'node:http';

/** A section of a prompt that engines cache as a unit. */
export interface PromptPart {
  id: string;
  tokens: number;
}

/** Size and cacheable parts of the prompt of a generation request. */
export interface Prompt {
  model: string;
  /** In prompt order; the last is unique to the request. */
  parts: PromptPart[];
  /** Tokens of the whole prompt. */
  tokens: number;
  /** Largest number of tokens in the response. */
  outputTokens: number;
  /** Number of response tokens that the caller expects. */
  expectedTokens?: number;
}

/** The head of a caller's request. */
export interface RequestHead {
  /** Empty if the caller gave none. */
  id: string;
  method: string;
  /** Path and query as received. */
  target: string;
  /** Host name in lower case, without a port. */
  host: string;
  key?: string;
  /** Time-out that the caller states, in ms from arrival. */
  callerTimeoutMs?: number;
  prompt?: Prompt;
  /** Id of the last event the caller received of a resumed stream. */
  lastEvent?: string;
  /** Id of the caller's request that brought the first event of that stream. */
  resumedRequest?: string;
  /** Headers to forward to the upstream: names and values alternate. */
  forwardedHeaders: string[];
}

/** Metadata that the instance adds to a forwarded request. */
export interface RequestMetadata {
  /** Id that the receiving upstream must have. */
  upstream: string;
  /** Time left until the deadline, in ms. */
  remainingMs: number;
  workspace?: string;
  /** Priority at an engine; 0 is the most urgent. */
  tier?: number;
  /** Id of the event after which the stream continues. */
  lastEvent?: string;
}

/** Load that an upstream reports: requests and batch slots. */
export interface LoadReport {
  running: number;
  waiting: number;
  slots: number;
}

/** What an upstream declares of the rate of requests that it takes. */
export type RateDeclaration =
  /** Requests a second from all instances together. */
  {type: 'rate'; perSecond: number} | {type: 'invalid'; text: string};

/** What an upstream reports of its process. */
export interface ProcessReport {
  /** Start of the process, in Unix ms; absent if it doesn't report that. */
  startedAt?: number;
}

/** Parsed headers of an upstream's response. */
export interface ResponseHead {
  /** Id of the request that the response belongs to. */
  request?: string;
  /** Whether the upstream reports that it did not run the request. */
  notRun: boolean;
  /** Whether it has the header that marks a response of an upstream. */
  sealed: boolean;
  isEventStream: boolean;
  /** Whether the body has a content encoding. */
  encoded: boolean;
  load?: LoadReport;
  /** Whether the upstream announces that it leaves. */
  leaving: boolean;
  /** Value of Retry-After. */
  retryAfter?: string;
  /** Absent if the upstream declares no rate. */
  rate?: RateDeclaration;
  /** Headers to forward to the caller: names and values alternate. */
  forwardedHeaders: string[];
}

/** Headers of a response, with names in lower case. */
export type ResponseHeaders = Record<string, string | string[] | undefined>;

/** Reads and writes the HTTP headers of a platform. */
export interface Protocol {
  /** Path at which engines respond immediately under any load. */
  readonly probeTarget: string;
  /** Reads the body of a response to a probe; one that is invalid is empty. */
  readReport(body: Buffer): ProcessReport;
  readRequest(message: IncomingMessage): RequestHead;
  /** Headers of the request to the upstream: names and values alternate. */
  writeRequest(head: RequestHead, metadata: RequestMetadata): string[];
  readResponse(status: number, headers: ResponseHeaders): ResponseHead;
  /** Whether the status tells callers that the request did not run. */
  impliesNotRun(status: number): boolean;
}
