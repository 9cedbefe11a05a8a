import {z} from 'zod';
import {listOf, recordOf} from '../telemetry/index.js';

/** Phase of inference that an engine specializes in. */
export type EngineRole = 'general' | 'prefill' | 'decode';

/** A change that an engine can be ordered to make. */
export type EngineTask =
  | {type: 'loadModel'; model: string; version: string}
  | {type: 'loadVersion'; model: string; version: string}
  | {type: 'loadAdapter'; model: string; adapter: string}
  | {type: 'unloadModel'; model: string}
  | {type: 'changeRole'; role: EngineRole};

/** An order as sent to an engine: a task, its id and its sender. */
export type EngineOrder = EngineTask & {
  /** Unique id; an engine executes an id at most once. */
  id: string;
  /** Fencing number of the sender's lease. */
  fencing: number;
  /** Name of the sending instance. */
  sender: string;
};

const loadedSchema = z.object({
  model: z.string(),
  version: z.string(),
  adapters: listOf(z.string()),
});

const pendingSchema = z.object({
  model: z.string(),
  version: z.string().optional(),
  adapter: z.string().optional(),
});

/** Schema of an engine's response to `GET /models`. */
export const engineStateSchema = z.object({
  /** Models in memory. */
  loaded: listOf(loadedSchema),
  /** Loads under way. */
  pending: listOf(pendingSchema),
  /** Loads that failed recently, and how long ago. */
  failed: listOf(pendingSchema.extend({ageMs: z.number()})),
  /** Number of models that fit into memory at once. */
  modelSlots: z.number().int().positive(),
  /** Highest fencing number the engine has seen, or -1. */
  fencing: z.number().int(),
  /** Requests since the engine started, by `MODEL` or `MODEL:ADAPTER`. */
  asked: recordOf(z.number()),
});

/** Models of an engine, loads under way, and request counters. */
export type EngineState = z.infer<typeof engineStateSchema>;
/** A model in an engine's memory. */
export type LoadedModel = z.infer<typeof loadedSchema>;
/** A load that is under way. */
export type PendingLoad = z.infer<typeof pendingSchema>;
