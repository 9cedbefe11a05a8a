import {LogEvent} from '../telemetry/event.js';
import type {Logger} from 'pino';
import type {RoutingDocument} from './document.js';
import {RoutingTable} from './table.js';

/** The routing configuration in force; never goes back to an older version. */
export class Routing {
  private table?: RoutingTable;
  private readonly listeners: Array<(table: RoutingTable) => void> = [];

  constructor(private readonly logger: Logger) {}

  current(): RoutingTable | undefined {
    return this.table;
  }

  subscribe(listener: (table: RoutingTable) => void): void {
    this.listeners.push(listener);
  }

  /** Puts a version in force unless a later one is. */
  accept(document: RoutingDocument): void {
    const known = this.table?.version;
    const {version, routes, services, workspaces} = document;
    if (known !== undefined && version <= known) {
      if (version < known) {
        this.logger.info(
          {event: LogEvent.Configuration, version, known},
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
        known,
        routes: routes.length,
        services: services.length,
        workspaces: workspaces?.length,
      },
      'Configuration is in force.',
    );
    for (const listener of this.listeners) listener(table);
  }
}
