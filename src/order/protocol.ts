import {z} from 'zod';

/** Work an engine specialises on. */
export type EngineRole = 'general' | 'prefill' | 'decode';

/** What an engine can be told to do. */
export type EngineTask =
  | {type: 'loadModel'; model: string; version: string}
  | {type: 'loadVersion'; model: string; version: string}
  | {type: 'loadAdapter'; model: string; adapter: string}
  | {type: 'unloadModel'; model: string}
  | {type: 'changeRole'; role: EngineRole};

/** A task together with who orders it, as an engine is sent it. */
export type EngineOrder = EngineTask & {
  /** Identifies the order; an engine executes the same id once. */
  id: string;
  /** Fencing number of the sender's lease. */
  fencing: number;
  /** Name of the sending instance. */
  sender: string;
};

const loadedSchema = z.object({
  model: z.string(),
  version: z.string(),
  adapters: z.array(z.string()),
});

const pendingSchema = z.object({
  model: z.string(),
  version: z.string().optional(),
  adapter: z.string().optional(),
});

/** The answer to `GET /models` of an engine. */
export const engineStateSchema = z.object({
  /** Models in memory. */
  loaded: z.array(loadedSchema),
  /** Loads under way. */
  pending: z.array(pendingSchema),
  /** Loads that failed of late, and how long ago. */
  failed: z.array(pendingSchema.extend({ageMs: z.number()})),
  /** Models that fit into memory at once. */
  modelSlots: z.number().int().positive(),
  /** Highest fencing number seen, or -1. */
  fencing: z.number().int(),
  /** Requests since the engine started, by `MODEL` or `MODEL:ADAPTER`. */
  asked: z.record(z.string(), z.number()),
});

/** What an engine holds and what it was asked for. */
export type EngineState = z.infer<typeof engineStateSchema>;
/** A model in an engine's memory. */
export type LoadedModel = z.infer<typeof loadedSchema>;
/** A load that is under way. */
export type PendingLoad = z.infer<typeof pendingSchema>;
