import type {Socket} from 'node:net';
import {buildConnector} from 'undici';

const CONNECT_TIMEOUT_MS = 1_000;

/** Bytes sent and received over connections. */
export interface Traffic {
  bytesOut: number;
  bytesIn: number;
}

/** Counts the bytes of connections, including HTTP headers and TLS. */
export class TrafficMeter {
  private readonly openSockets = new Set<Socket>();
  private readonly closedTraffic: Traffic = {bytesOut: 0, bytesIn: 0};

  /** Includes all bytes of a connection in the count. */
  track(socket: Socket): void {
    this.openSockets.add(socket);
    socket.once('close', () => {
      this.openSockets.delete(socket);
      this.closedTraffic.bytesOut += socket.bytesWritten;
      this.closedTraffic.bytesIn += socket.bytesRead;
    });
  }

  /** Bytes sent and received so far, over open and closed connections. */
  read(): Traffic {
    const sum = {...this.closedTraffic};
    for (const socket of this.openSockets) {
      sum.bytesOut += socket.bytesWritten;
      sum.bytesIn += socket.bytesRead;
    }
    return sum;
  }
}

/** Options of the connections that [[meteredConnector]] opens. */
export type ConnectorOptions = Partial<buildConnector.BuildOptions>;

/** Returns an undici connector whose connections `meter` counts. */
export function meteredConnector(
  meter: TrafficMeter,
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
