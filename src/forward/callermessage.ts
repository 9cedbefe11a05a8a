import {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';

/**
 * Creates the class of callers' requests. At a request that `isOverrun` returns
 * true for, the parser stops, and the server emits `upgrade`: what was read with
 * it may hold thousands of requests, which would all be created first. Requests
 * that ask for an upgrade are parsed like others.
 */
export function callerMessageClass(
  isOverrun: (socket: Socket) => boolean,
): typeof IncomingMessage {
  return class CallerMessage extends IncomingMessage {
    private isUpgrade = false;
    private readonly isLast: boolean;

    constructor(socket: Socket) {
      super(socket);
      this.isLast = isOverrun(socket);
    }

    /** Whether the parser stops at this request. */
    get upgrade(): boolean {
      return this.isLast || (this.isUpgrade && this.method === 'CONNECT');
    }

    set upgrade(isUpgrade: boolean) {
      this.isUpgrade = isUpgrade;
    }
  };
}
