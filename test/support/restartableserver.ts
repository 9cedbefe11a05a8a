import {createServer, type Server, type Socket} from 'node:net';
import type {AddressInfo} from 'node:net';
import {LOOPBACK} from '../../stand-ins/loopback.js';

const REBIND_MS = 20;

/** A server whose processes follow each other at the same port. */
export class RestartableServer {
  /** Id of the process. */
  instance = '';
  private server?: Server;
  private port = 0;
  private readonly sockets = new Set<Socket>();

  constructor(
    private readonly serve: (
      server: RestartableServer,
      text: string,
      socket: Socket,
    ) => void,
  ) {}

  get isRunning(): boolean {
    return this.server?.listening === true;
  }

  /** Starts a process, once its port is free. */
  async listen(instance: string): Promise<number> {
    for (;;) {
      const server = createServer(socket => this.accept(socket));
      const isBound = await new Promise<boolean>(resolve => {
        server.once('error', () => resolve(false));
        server.listen(this.port, LOOPBACK, () => resolve(true));
      });
      if (isBound) {
        this.server = server;
        this.instance = instance;
        this.port = (server.address() as AddressInfo).port;
        return this.port;
      }
      await new Promise(resolve => setTimeout(resolve, REBIND_MS));
    }
  }

  /** Ends the process with all its connections. */
  close(): void {
    this.server?.close();
    for (const socket of this.sockets) socket.resetAndDestroy();
  }

  private accept(socket: Socket): void {
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('data', bytes =>
      this.serve(this, bytes.toString('latin1'), socket),
    );
  }
}
