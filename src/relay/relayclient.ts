import {err, ok, type Result} from 'neverthrow';
import type {Socket} from 'node:net';
import type {Subscription, Timer} from '../timer/index.js';
import type {RelayChoice, RelayPeer} from './relaychoice.js';
import type {TunnelFailure, Tunnels, UpstreamAddress} from './tunnel.js';

/** Time after which another peer is asked beside a silent one, in ms. */
const HEDGE_MS = 100;
/**
 * Time within which a peer must have opened a connection, in ms; shorter than that
 * of a probe, whose result would else be the silence of the peer.
 */
const OPEN_TIMEOUT_MS = 400;
/** Time for which peers aren't asked for an upstream that they don't reach, in ms. */
const UNREACHED_MS = 500;

/** A connection to an upstream through a peer. */
export interface RelayedConnection {
  socket: Socket;
  peer: RelayPeer;
}

/** Dependencies of [[RelayClient]]. */
export interface RelayClientParts {
  tunnels: Tunnels;
  choice: RelayChoice;
  /** Other instances that are up, as far as known. */
  peers(): Iterable<RelayPeer>;
  timer: Timer;
}

/** Opens connections to upstreams through other instances. */
export class RelayClient {
  /** Until when peers aren't asked for an upstream, and why; by id. */
  private readonly unreached = new Map<
    string,
    {until: number; failure: TunnelFailure}
  >();

  constructor(private readonly parts: RelayClientParts) {}

  /** Opens a connection through the first of several peers that can. */
  async open(
    upstream: UpstreamAddress,
  ): Promise<Result<RelayedConnection, TunnelFailure>> {
    const {choice, timer} = this.parts;
    const now = timer.now();
    const known = this.unreached.get(upstream.id);
    if (known !== undefined && known.until > now) return err(known.failure);
    this.unreached.delete(upstream.id);
    const peers = choice.choose(this.parts.peers(), now);
    const result = await new Race(this.parts, upstream, peers).run();
    if (result.isErr() && result.error.type === 'upstream') {
      const until = timer.now() + UNREACHED_MS;
      this.unreached.set(upstream.id, {until, failure: result.error});
    }
    return result;
  }

  /** Opens a connection through one peer. */
  openThrough(
    upstream: UpstreamAddress,
    peer: RelayPeer,
  ): Promise<Result<RelayedConnection, TunnelFailure>> {
    return new Race(this.parts, upstream, [peer]).run();
  }

  /** Forgets upstreams that are no longer known. */
  retain(isKnown: (upstream: string) => boolean): void {
    for (const upstream of this.unreached.keys()) {
      if (!isKnown(upstream)) this.unreached.delete(upstream);
    }
  }
}

/** Asks peers one after the other, without waiting long for any of them. */
class Race {
  private readonly controller = new AbortController();
  private hedge?: Subscription;
  private asked = 0;
  /** Peers that have not answered yet. */
  private readonly pending = new Set<RelayPeer>();
  /** Peers that don't reach the upstream. */
  private readonly cutOff: RelayPeer[] = [];
  private isOver = false;
  private failure: TunnelFailure = {type: 'peer', cause: 'no peer to ask'};
  private resolve: (result: Result<RelayedConnection, TunnelFailure>) => void =
    () => undefined;

  constructor(
    private readonly parts: RelayClientParts,
    private readonly upstream: UpstreamAddress,
    private readonly peers: readonly RelayPeer[],
  ) {}

  run(): Promise<Result<RelayedConnection, TunnelFailure>> {
    const {timer} = this.parts;
    const timeout = timer.after(OPEN_TIMEOUT_MS, () => this.handleTimeout());
    return new Promise<Result<RelayedConnection, TunnelFailure>>(resolve => {
      this.resolve = resolve;
      this.askNext();
    }).finally(() => timeout.end());
  }

  private askNext(): void {
    this.hedge?.end();
    const peer = this.peers[this.asked];
    if (peer === undefined) {
      if (this.pending.size === 0) this.finish(err(this.failure));
      return;
    }
    this.asked++;
    this.pending.add(peer);
    this.hedge = this.parts.timer.after(HEDGE_MS, () => this.askNext());
    void this.ask(peer);
  }

  private async ask(peer: RelayPeer): Promise<void> {
    const {tunnels, choice, timer} = this.parts;
    const {signal} = this.controller;
    const result = await tunnels.open(peer, this.upstream, signal);
    this.pending.delete(peer);
    if (result.isErr()) {
      this.handleFailure(peer, result.error);
      return;
    }
    const socket = result.value;
    if (this.isOver) {
      socket.destroy();
      return;
    }
    choice.noteOpened(peer);
    socket.once('close', () => choice.noteClosed(peer));
    // These are slower than a peer that was asked later, or isolated as well.
    for (const other of [...this.pending, ...this.cutOff]) {
      choice.noteFailure(other, timer.now());
    }
    this.finish(ok({socket, peer}));
  }

  private handleFailure(peer: RelayPeer, failure: TunnelFailure): void {
    // Those that lost the race were broken off.
    if (this.isOver) return;
    switch (failure.type) {
      case 'peer':
      case 'refused':
        this.parts.choice.noteFailure(peer, this.parts.timer.now());
        if (this.cutOff.length === 0) this.failure = failure;
        break;
      case 'upstream':
        this.cutOff.push(peer);
        this.failure = failure;
        break;
    }
    this.askNext();
  }

  private handleTimeout(): void {
    const isAnswered = this.cutOff.length > 0;
    const silence = {type: 'peer', cause: 'no peer answered in time'} as const;
    this.finish(err(isAnswered ? this.failure : silence));
  }

  private finish(result: Result<RelayedConnection, TunnelFailure>): void {
    if (this.isOver) return;
    this.isOver = true;
    this.hedge?.end();
    this.resolve(result);
    this.controller.abort();
  }
}
