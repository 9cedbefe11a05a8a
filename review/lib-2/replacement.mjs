/** Machines that are replaced by others at new addresses. */
import net from 'node:net';

/** Port on which the machines talk to each other, as the settings allow. */
const PEER_PORT = 7340;

/** Keeps silent at the address of a machine that is gone, without a reset. */
async function keepSilent(host, cleanUp) {
  const sockets = new Set();
  const server = net.createServer(socket => {
    sockets.add(socket);
    socket.on('error', () => undefined);
  });
  await new Promise(resolve => {
    server.once('error', resolve);
    server.listen(PEER_PORT, host, resolve);
  });
  cleanUp(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
}

/**
 * Replaces all machines a number of times: others start first, in the same zones,
 * then the old ones get SIGTERM. Returns the last ones.
 */
export async function replaceAll({gateways, make, times, record, cleanUp}) {
  let current = gateways;
  const leaving = [];
  for (let turn = 0; turn < times; turn++) {
    const old = current;
    current = old.map(({zone}) => make(zone));
    await Promise.all(current.map(gateway => gateway.start()));
    for (const gateway of old) {
      record.add(`SIGTERM for ${gateway.name} at ${gateway.host}`);
      const ended = gateway.terminate();
      leaving.push(ended.then(() => keepSilent(gateway.host, cleanUp)));
    }
  }
  await Promise.all(leaving);
  return current;
}
