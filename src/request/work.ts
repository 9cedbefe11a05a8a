import type {ServiceClass, Workspace} from '../config/index.js';

/** The model or service that a request needs, with its parameters. */
export type Demand =
  | {
      type: 'generation';
      model: string;
      adapter?: string;
      /** Text of the prompt, for placement by cached prefix. */
      prompt: string;
      /** Maximum number of output tokens; undefined if not given. */
      maxTokens?: number;
      stream: boolean;
    }
  | {type: 'service'; service: string};

/**
 * A parsed and authenticated request of a caller. Its class and configuration
 * version stay as they were on arrival, even if the configuration changes.
 */
export interface ParsedRequest {
  /** Unique id, a UUIDv7, sent to the caller. */
  id: string;
  workspace: Workspace;
  serviceClass: ServiceClass;
  configurationVersion: number;
  demand: Demand;
  method: string;
  /** Path and query of the request to the upstream. */
  path: string;
  contentType: string;
  body: Buffer;
  /** Whether the request may be run more than once. */
  repeatable: boolean;
  idempotencyKey?: string;
  /** Wall-clock time in ms at which the key was issued, if known. */
  keyIssuedAt?: number;
  /** Whether the stream is kept for a caller that may resume it. */
  resumable: boolean;
  /** Time of arrival, in monotonic ms. */
  arrivedAt: number;
  /** Deadline, in monotonic ms. */
  deadlineAt: number;
  /** Number of earlier attempts that the caller reports. */
  priorAttempts: number;
}
