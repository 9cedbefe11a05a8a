import {createServer, type Server} from 'node:http';
import {listen, type Address} from '../forward/index.js';

/** Response to a readiness check or a read of the metrics. */
export interface MonitoringPage {
  status: number;
  body: string;
}

/** HTTP servers for readiness and metrics, one address and path each. */
export class MonitoringServers {
  private readonly servers: Server[] = [];

  /**
   * Serves `page` on a path, and 404 on all others. Resolves to the port, or
   * rejects if the address can't be opened.
   */
  serve(
    address: Address,
    path: string,
    page: () => MonitoringPage,
  ): Promise<number> {
    const server = createServer((message, response) => {
      const {status, body} =
        message.url === path ? page() : {status: 404, body: ''};
      response.writeHead(status, {'content-length': Buffer.byteLength(body)});
      response.end(body);
    });
    this.servers.push(server);
    return listen(server, address);
  }

  close(): void {
    for (const server of this.servers) server.close();
  }
}
