import type {Logger} from 'pino';
import type {FollowerListener, KeyedRecord} from '../registry/index.js';
import type {Routing} from '../route/index.js';
import {LogEvent} from '../telemetry/index.js';
import type {PlatformAdapter} from './platformadapter.js';

/** Applies the records of the configuration's topic to the routing. */
export class ConfigurationRecords implements FollowerListener {
  /** The record of the configuration in force; none before the first. */
  private inForce: KeyedRecord[] = [];

  constructor(
    private readonly routing: Routing,
    private readonly platform: PlatformAdapter,
    private readonly logger: Logger,
  ) {}

  replaced(records: KeyedRecord[]): KeyedRecord[] {
    return this.apply(records);
  }

  added(records: KeyedRecord[]): KeyedRecord[] {
    return this.apply(records);
  }

  known(): KeyedRecord[] {
    return this.inForce;
  }

  /**
   * Passes valid configurations to the routing and logs invalid ones. Returns
   * the records that hold a valid one.
   */
  private apply(records: KeyedRecord[]): KeyedRecord[] {
    return records.filter(record => {
      const document = this.platform.decodeConfiguration(record);
      if (document === undefined) return false;
      if ('reason' in document) {
        this.logger.warn(
          {event: LogEvent.Configuration, offset: record.offset, ...document},
          'Ignored an invalid configuration.',
        );
        return false;
      }
      this.routing.accept(document);
      if (this.routing.current()?.version === document.version) {
        this.inForce = [record];
      }
      return true;
    });
  }
}
