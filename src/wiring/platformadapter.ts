import type {Protocol} from '../forward/index.js';
import type {Feed, KeyedRecord, RegistryEntry} from '../registry/index.js';
import type {RoutingDocument} from '../route/index.js';

/** Adapter of a gateway to the platform that it is deployed on. */
export interface PlatformAdapter {
  /** The build of the program, for the log; absent if it isn't known. */
  revision?: string | undefined;
  /** Headers of requests and answers. */
  protocol: Protocol;
  /** Source of configurations, upstreams and addresses of instances. */
  feed: Feed;
  /** URL path of the readiness check. */
  readinessPath: string;
  /**
   * Decodes a record of the configuration topic. Returns undefined for a record
   * that holds no configuration, and a reason for one that is invalid.
   */
  decodeConfiguration(
    record: KeyedRecord,
  ): RoutingDocument | {reason: string} | undefined;
  /** Decodes the entry of an upstream; returns a reason if it is invalid. */
  decodeEntry(key: string, value: Buffer): RegistryEntry | {reason: string};
}
