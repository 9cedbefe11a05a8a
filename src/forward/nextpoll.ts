/**
 * Resolves once the event loop has polled its sockets again. In a process that
 * is late, a caller's request and the close of its connection may both have
 * arrived; they are read in this order, one at each poll.
 */
export function afterNextPoll(): Promise<void> {
  return new Promise(resolve => {
    setImmediate(() => setImmediate(resolve));
  });
}
