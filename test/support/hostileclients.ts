import {connect, type Socket} from 'node:net';

const FRONT_PORT = 8227;
/** Bytes that a client writes at a time. */
const WRITE_BYTES = 64 * 1024;

/** What a client sends. */
export interface HostileTraffic {
  /** Sent once. */
  start: string;
  /** Sent again and again. */
  unit: string;
  /** Bytes after which it stops and stays open; without end if absent. */
  limitBytes?: number;
  /** Whether it reads the answers. */
  reads: boolean;
}

/** Header lines of a request that the configuration allows. */
export const USUAL_HEADERS =
  'Host: shop.example\r\nAuthorization: Bearer key-one\r\n' +
  'X-Request-Id: hostile\r\nX-Deadline-Ms: 30000\r\n';

/** Clients that send the same on connections of their own. */
export class HostileClients {
  private readonly sockets: Socket[];

  constructor(host: string, count: number, traffic: HostileTraffic) {
    const repeats = Math.max(1, Math.floor(WRITE_BYTES / traffic.unit.length));
    const block = Buffer.from(traffic.unit.repeat(repeats), 'latin1');
    this.sockets = Array.from({length: count}, () =>
      open(host, traffic, block),
    );
  }

  close(): void {
    for (const socket of this.sockets) socket.destroy();
  }
}

function open(host: string, traffic: HostileTraffic, block: Buffer): Socket {
  const {start, limitBytes = Infinity, reads} = traffic;
  const socket = connect(FRONT_PORT, host);
  let sent = 0;
  const send = () => {
    while (!socket.destroyed && sent + block.length <= limitBytes) {
      sent += block.length;
      if (!socket.write(block)) return;
    }
  };
  socket.on('error', () => undefined);
  socket.on('drain', send);
  if (reads) socket.resume();
  else socket.pause();
  socket.write(start);
  send();
  return socket;
}
