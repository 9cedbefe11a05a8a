import {LogEvent} from '../telemetry/logevent.js';
import type {Logger} from 'pino';
import type {RoutingDocument} from './document.js';
import {RoutingTable} from './table.js';

/** The current routing configuration. Never reverts to an older version. */
export class Routing {
  private table?: RoutingTable;
  private readonly listeners: Array<(table: RoutingTable) => void> = [];

  constructor(private readonly logger: Logger) {}

  /** Undefined before the first configuration. */
  current(): RoutingTable | undefined {
    return this.table;
  }

  /** Calls `listener` with the new table after each change. */
  subscribe(listener: (table: RoutingTable) => void): void {
    this.listeners.push(listener);
  }

  /** Applies a version, unless the current one is as new or newer. */
  accept(document: RoutingDocument): void {
    const currentVersion = this.table?.version;
    const {version, routes, services, workspaces} = document;
    if (currentVersion !== undefined && version <= currentVersion) {
      if (version < currentVersion) {
        this.logger.info(
          {event: LogEvent.Configuration, version, known: currentVersion},
          'Ignored a configuration older than the one in force.',
        );
      }
      return;
    }
    const table = new RoutingTable(document);
    this.table = table;
    this.logger.info(
      {
        event: LogEvent.Configuration,
        version,
        known: currentVersion,
        routes: routes.length,
        services: services.length,
        workspaces: workspaces?.length,
      },
      'Configuration is in force.',
    );
    for (const listener of this.listeners) listener(table);
  }
}
