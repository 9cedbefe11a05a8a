import type {ServiceClass, Workspace} from '../config/index.js';

/** What a request asks for. */
export type Demand =
  | {
      type: 'generation';
      model: string;
      adapter?: string;
      /** The prompt as text, for prefix locality. */
      prompt: string;
      /** Most tokens the answer may have, when the caller said so. */
      maxTokens?: number;
      stream: boolean;
    }
  | {type: 'service'; service: string};

/**
 * One request of a caller, parsed and authenticated. It keeps the class and
 * the configuration version it was admitted with until it ends.
 */
export interface ParsedRequest {
  /** Unique id, a UUIDv7, told to the caller. */
  id: string;
  workspace: Workspace;
  serviceClass: ServiceClass;
  configurationVersion: number;
  demand: Demand;
  method: string;
  /** Path and query to use at the upstream. */
  path: string;
  contentType: string;
  body: Buffer;
  /** Whether the request may be run more than once. */
  repeatable: boolean;
  idempotencyKey?: string;
  /** When the key was issued, wall-clock ms, if it tells. */
  keyIssuedAt?: number;
  /** Whether the caller may come back for a stream it lost. */
  resumable: boolean;
  /** Arrival and deadline in monotonic ms. */
  arrivedAt: number;
  deadlineAt: number;
  /** Times the caller or another instance tried the request before. */
  priorAttempts: number;
}
