import {createServer, type Server} from 'node:http';
import {listen, type Address} from '../forward/index.js';

/** A small page, such as readiness. */
export interface MonitoringPage {
  status: number;
  body: string;
}

/** The small pages that a gateway serves, each on an address of its own. */
export class MonitoringServers {
  private readonly servers: Server[] = [];

  /** Serves one page; resolves to the port. */
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
