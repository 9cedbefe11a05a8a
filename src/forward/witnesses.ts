import type {Connection} from './connections.js';
import type {Endpoint} from './endpoint.js';
import {
  Witness,
  type AnswerEnd,
  type User,
  type WitnessParts,
} from './witness.js';

/** An answer without a length, from its head on. */
export interface WitnessedAnswer {
  /** Finds out who ended it, once it has ended; within `leftMs` ms. */
  judge(leftMs: number): Promise<AnswerEnd>;
  /** Ends the use of its witness. */
  leave(): void;
}

/**
 * Keeps a second connection to each process that writes answers without a length.
 * Such an answer ends with its connection, as it does when its process, its host
 * or a proxy ends: these end the second connection, too.
 */
export class Witnesses {
  private readonly witnesses = new Map<Endpoint, Map<string, Witness>>();
  /** Routes whose last answer of an upstream had no length. */
  private readonly expected = new WeakMap<Endpoint, Set<string>>();

  constructor(private readonly parts: WitnessParts) {}

  /**
   * Begins before the head of an answer, if the last one of the route had no
   * length: an answer may end soon after its head. `connection`: the one that the
   * request was sent on; before that, an idle one has to be left.
   */
  prepare(
    endpoint: Endpoint,
    route: string,
    connection = endpoint.connections.peekIdle(),
  ): WitnessedAnswer | undefined {
    const isExpected = this.expected.get(endpoint)?.has(route) ?? false;
    if (!isExpected || connection === undefined) return undefined;
    return this.join(endpoint, connection);
  }

  /** Begins at the head of an answer that comes on a connection. */
  attend(
    endpoint: Endpoint,
    answer: Connection,
    route: string,
  ): WitnessedAnswer {
    const routes = this.expected.get(endpoint) ?? new Set();
    this.expected.set(endpoint, routes.add(route));
    return this.join(endpoint, answer);
  }

  /** Notes an answer of a route that HTTP delimits. */
  noteFramed(endpoint: Endpoint, route: string): void {
    this.expected.get(endpoint)?.delete(route);
  }

  private join(endpoint: Endpoint, answer: Connection): WitnessedAnswer {
    const byWay = this.witnesses.get(endpoint) ?? new Map<string, Witness>();
    this.witnesses.set(endpoint, byWay);
    const way = wayOf(answer);
    const witness = byWay.get(way) ?? new Witness(this.parts, endpoint, answer);
    byWay.set(way, witness);
    const {startedAt} = endpoint.entry;
    const user: User = {};
    witness.join(user);
    return {
      judge: leftMs =>
        witness.judge(
          {known: answer.processStartedAt, startedAt},
          user,
          leftMs,
        ),
      leave: () => {
        if (witness.leave(user) > 0) return;
        byWay.delete(way);
        if (byWay.size === 0) this.witnesses.delete(endpoint);
      },
    };
  }
}

/** The instances that a connection passes through, in words. */
function wayOf({peer}: Connection): string {
  return peer === undefined ? '' : `${peer.host}:${peer.port}`;
}
