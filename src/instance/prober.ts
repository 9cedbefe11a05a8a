import {MemberState, type Member} from './member.js';
import type {
  GossipMembership,
  GossipMembershipParts,
} from './gossipmembership.js';
import {
  membershipMessageSchema,
  relayResponseSchema,
  relayRequestSchema,
  type MembershipMessageInput,
} from './message.js';
import {ProbeOrder, sample} from './probeorder.js';
import {recordOf} from './roster.js';

/** Time between two probes of an instance, in ms. */
export const PROBE_PERIOD_MS = 2_000;
const DIRECT_TIMEOUT_MS = 400;
const RELAY_TIMEOUT_MS = 500;
/** Instances asked to probe a peer that did not answer. */
const RELAYS = 3;
/** Share of rounds in which an unchanged status is told again. */
const REFRESH_SHARE = 0.1;
/** Share of rounds in which one dead member is probed as well. */
const DEAD_PROBE_SHARE = 0.1;
/** How long members that are gone are remembered, in ms. */
const GONE_RETENTION_MS = 2 * 3_600_000;
/** A round this late means that this process was paused, in ms. */
const PAUSE_MS = 2 * PROBE_PERIOD_MS;

/**
 * The task of an instance that probes its peers: one a period, directly and
 * then through others, and a dead one now and then.
 */
export class Prober {
  private readonly ring: ProbeOrder;
  private readonly stopping = new AbortController();
  private task?: Promise<void>;

  constructor(
    private readonly fleet: GossipMembership,
    private readonly parts: GossipMembershipParts,
  ) {
    this.ring = new ProbeOrder(parts.random);
    const {datagrams} = parts;
    datagrams.handle('ping', params => this.answerPing(params));
    datagrams.handle('relay', params => this.answerRelay(params));
  }

  start(): void {
    this.task ??= this.run();
  }

  async stop(): Promise<void> {
    this.stopping.abort();
    await this.task;
  }

  private async run(): Promise<void> {
    const {timer, random, logger} = this.parts;
    const {signal} = this.stopping;
    await timer.sleep(random() * PROBE_PERIOD_MS, signal);
    while (!signal.aborted) {
      const start = timer.now();
      if (random() < REFRESH_SHARE) {
        this.fleet.resendStatus();
      }
      await Promise.all([this.probeNext(), this.probeDead()]);
      const rest = PROBE_PERIOD_MS - (timer.now() - start);
      await timer.sleep(Math.max(0, rest), signal);
      if (timer.now() - start > PAUSE_MS) logger.warn('Process was paused.');
      this.fleet.roster.expire(timer.now() - GONE_RETENTION_MS);
    }
  }

  private async probeNext(): Promise<void> {
    const peers = this.fleet
      .all()
      .filter(
        member =>
          member !== this.fleet.self() && member.state !== MemberState.Dead,
      );
    const peer = this.ring.next(peers);
    if (peer === undefined) return;
    const {incarnation} = peer;
    const start = this.parts.timer.now();
    if (await this.ping(peer)) return;
    if (await this.pingThrough(peer, peers)) return;
    const paused = this.parts.timer.now() - start > PAUSE_MS;
    if (paused || this.stopping.signal.aborted) return;
    this.fleet.markUnreachable({...recordOf(peer), incarnation});
  }

  /** Finds out, at a bounded rate, whether a dead member came back. */
  private async probeDead(): Promise<void> {
    if (this.parts.random() >= DEAD_PROBE_SHARE) return;
    const dead = this.fleet
      .all()
      .filter(({state}) => state === MemberState.Dead);
    const [member] = sample(dead, 1, this.parts.random);
    if (member !== undefined) await this.ping(member);
  }

  private async ping(peer: Member): Promise<boolean> {
    const answer = await this.parts.datagrams.call(
      peer,
      'ping',
      this.fleet.buildMessage(peer),
      DIRECT_TIMEOUT_MS,
    );
    if (answer.isErr()) return false;
    const parsed = membershipMessageSchema.safeParse(answer.value);
    if (!parsed.success) return false;
    this.fleet.receive(parsed.data);
    return parsed.data.from.name === peer.name;
  }

  private async pingThrough(
    peer: Member,
    peers: readonly Member[],
  ): Promise<boolean> {
    const others = peers.filter(
      other => other !== peer && other.state === MemberState.Alive,
    );
    const relays = sample(others, RELAYS, this.parts.random);
    const target = {host: peer.host, port: peer.port};
    const answers = await Promise.all(
      relays.map(relay =>
        this.parts.datagrams.call(
          relay,
          'relay',
          {...this.fleet.buildMessage(relay), target},
          RELAY_TIMEOUT_MS,
        ),
      ),
    );
    return answers.some(answer => {
      const parsed = relayResponseSchema.safeParse(answer.unwrapOr(undefined));
      if (!parsed.success) return false;
      this.fleet.receive(parsed.data);
      return parsed.data.reached;
    });
  }

  private answerPing(params: unknown): MembershipMessageInput {
    const exchange = membershipMessageSchema.parse(params);
    this.fleet.receive(exchange);
    return this.fleet.buildMessage(exchange.from);
  }

  private async answerRelay(params: unknown): Promise<unknown> {
    const relay = relayRequestSchema.parse(params);
    this.fleet.receive(relay);
    const answer = await this.parts.datagrams.call(
      relay.target,
      'ping',
      this.fleet.buildMessage(),
      DIRECT_TIMEOUT_MS,
    );
    const parsed = membershipMessageSchema.safeParse(
      answer.unwrapOr(undefined),
    );
    if (parsed.success) this.fleet.receive(parsed.data);
    return {...this.fleet.buildMessage(relay.from), reached: parsed.success};
  }
}
