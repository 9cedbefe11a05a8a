import type {Topic} from '../../src/registry/index.js';
import type {LinkCapacity} from './simulatedlinks.js';

/** Size and seed of a simulated fleet. */
export interface FleetSpec {
  instances: number;
  upstreams: number;
  seed: number;
  /** Share of messages between instances that are lost, 0 to 1. */
  loss: number;
  /** Size of a configuration, in bytes. */
  configurationBytes: number;
  /** Capacity of the links; unlimited if absent. */
  links?: LinkCapacity;
  /** Number of upstreams that may declare rates, beside the others. */
  limitedUpstreams?: number;
  /** Period with which an upstream writes its entry, in ms. */
  heartbeatMs?: number;
  /** Most steps of the simulation for each instance a second; no bound if absent. */
  stepsPerSecond?: number;
}

/** When a record of the store was in force at an instance. */
export interface Application {
  instance: string;
  topic: Topic;
  /** Time from the record's acknowledgement until then, in ms. */
  delayMs: number;
}
