/** A way to a machine that can go silent, as when the machine loses power. */
import {connect, createServer} from 'node:net';

export class SilentProxy {
  sockets = new Set();
  isSilent = false;

  static async open(host, {name, host: target, port: targetPort}) {
    const proxy = new SilentProxy();
    proxy.name = name;
    proxy.host = host;
    proxy.server = createServer(near => {
      proxy.sockets.add(near);
      near.on('error', () => undefined);
      if (proxy.isSilent) return;
      const far = connect({host: target, port: targetPort});
      proxy.sockets.add(far);
      far.on('error', () => undefined);
      near.on('data', chunk => !proxy.isSilent && far.write(chunk));
      far.on('data', chunk => !proxy.isSilent && near.write(chunk));
      near.on('close', () => far.destroy());
      far.on('close', () => !proxy.isSilent && near.destroy());
    });
    await new Promise(done => proxy.server.listen(0, host, done));
    proxy.port = proxy.server.address().port;
    return proxy;
  }

  /** Lets nothing through anymore; no end of a connection either. */
  silence() {
    this.isSilent = true;
  }

  close() {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }
}
