import type {Socket} from 'node:net';
import {buildConnector} from 'undici';

const CONNECT_TIMEOUT_MS = 1_000;

/** Bytes moved over connections. */
export interface Traffic {
  bytesOut: number;
  bytesIn: number;
}

/** Counts the bytes of connections, headers of HTTP and TLS included. */
export class Meter {
  private readonly open = new Set<Socket>();
  private readonly closed: Traffic = {bytesOut: 0, bytesIn: 0};

  /** Counts a connection from now until it closes. */
  track(socket: Socket): void {
    this.open.add(socket);
    socket.once('close', () => {
      this.open.delete(socket);
      this.closed.bytesOut += socket.bytesWritten;
      this.closed.bytesIn += socket.bytesRead;
    });
  }

  /** Bytes moved so far. */
  read(): Traffic {
    const sum = {...this.closed};
    for (const socket of this.open) {
      sum.bytesOut += socket.bytesWritten;
      sum.bytesIn += socket.bytesRead;
    }
    return sum;
  }
}

/** Options of connections opened by [[meteredConnector]]. */
export type ConnectorOptions = Partial<buildConnector.BuildOptions>;

/** Opens connections that a meter counts. */
export function meteredConnector(
  meter: Meter,
  options: ConnectorOptions = {},
): buildConnector.connector {
  const connect = buildConnector({
    timeout: CONNECT_TIMEOUT_MS,
    ...options,
  });
  return (target, callback) => {
    connect(target, (...result) => {
      if (result[0] === null) meter.track(result[1]);
      callback(...result);
    });
  };
}
