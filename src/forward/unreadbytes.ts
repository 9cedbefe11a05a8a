import type {Socket} from 'node:net';

/**
 * Keeps a socket from reading on while as many bytes as it should buffer wait in
 * it. The HTTP client takes all bytes of a socket and puts back those that its
 * paused parser doesn't take; each time, the socket reads once more, so that what
 * it holds would grow with each pause.
 */
export function boundUnreadBytes(socket: Socket): void {
  const read = socket._read.bind(socket);
  socket._read = size => {
    // After the parser has put back what it doesn't take.
    queueMicrotask(() => {
      if (socket.readableLength < socket.readableHighWaterMark) read(size);
      // Ends this read without bytes; the next one begins once some are taken.
      else socket.push('');
    });
  };
}
