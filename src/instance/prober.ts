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

/** Time between two probes that an instance makes, in ms. */
export const PROBE_PERIOD_MS = 2_000;
const DIRECT_PROBE_TIMEOUT_MS = 400;
const RELAYED_PROBE_TIMEOUT_MS = 500;
/** Instances that are asked to probe a peer that did not answer. */
const RELAY_COUNT = 3;
/** Probability per period of sending an unchanged status again. */
const STATUS_RESEND_PROBABILITY = 0.1;
/** Probability per period of probing one dead member as well. */
const DEAD_PROBE_PROBABILITY = 0.1;
/** How long dead and leaving members are kept, in ms. */
const DEPARTED_RETENTION_MS = 2 * 3_600_000;
/** A period that takes this long, in ms, means that the process was paused. */
const PAUSE_MS = 2 * PROBE_PERIOD_MS;

/**
 * Probes the peers of an instance: one per period, directly and then through
 * other peers, and now and then a dead one.
 */
export class Prober {
  private readonly probeOrder: ProbeOrder;
  private readonly stopping = new AbortController();
  private task?: Promise<void>;

  constructor(
    private readonly membership: GossipMembership,
    private readonly parts: GossipMembershipParts,
  ) {
    this.probeOrder = new ProbeOrder(parts.random);
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
      if (random() < STATUS_RESEND_PROBABILITY) {
        this.membership.resendStatus();
      }
      await Promise.all([this.probeNext(), this.probeDead()]);
      const remainingMs = PROBE_PERIOD_MS - (timer.now() - start);
      await timer.sleep(Math.max(0, remainingMs), signal);
      if (timer.now() - start > PAUSE_MS) logger.warn('Process was paused.');
      this.membership.roster.expire(timer.now() - DEPARTED_RETENTION_MS);
    }
  }

  private async probeNext(): Promise<void> {
    const peers = this.membership
      .all()
      .filter(
        member =>
          member !== this.membership.self() &&
          member.state !== MemberState.Dead,
      );
    const peer = this.probeOrder.next(peers);
    if (peer === undefined) return;
    const {incarnation} = peer;
    const start = this.parts.timer.now();
    if (await this.ping(peer)) return;
    if (await this.pingViaRelays(peer, peers)) return;
    const wasPaused = this.parts.timer.now() - start > PAUSE_MS;
    if (wasPaused || this.stopping.signal.aborted) return;
    this.membership.markUnreachable({...recordOf(peer), incarnation});
  }

  /** Probes a random dead member, at a bounded rate, to notice its return. */
  private async probeDead(): Promise<void> {
    if (this.parts.random() >= DEAD_PROBE_PROBABILITY) return;
    const dead = this.membership
      .all()
      .filter(({state}) => state === MemberState.Dead);
    const [member] = sample(dead, 1, this.parts.random);
    if (member !== undefined) await this.ping(member);
  }

  private async ping(peer: Member): Promise<boolean> {
    const answer = await this.parts.datagrams.call(
      peer,
      'ping',
      this.membership.buildMessage(peer),
      DIRECT_PROBE_TIMEOUT_MS,
    );
    if (answer.isErr()) return false;
    const parsed = membershipMessageSchema.safeParse(answer.value);
    if (!parsed.success) return false;
    this.membership.receive(parsed.data);
    return parsed.data.from.name === peer.name;
  }

  private async pingViaRelays(
    peer: Member,
    peers: readonly Member[],
  ): Promise<boolean> {
    const others = peers.filter(
      other => other !== peer && other.state === MemberState.Alive,
    );
    const relays = sample(others, RELAY_COUNT, this.parts.random);
    const target = {host: peer.host, port: peer.port};
    const answers = await Promise.all(
      relays.map(relay =>
        this.parts.datagrams.call(
          relay,
          'relay',
          {...this.membership.buildMessage(relay), target},
          RELAYED_PROBE_TIMEOUT_MS,
        ),
      ),
    );
    return answers.some(answer => {
      const parsed = relayResponseSchema.safeParse(answer.unwrapOr(undefined));
      if (!parsed.success) return false;
      this.membership.receive(parsed.data);
      return parsed.data.reached;
    });
  }

  private answerPing(params: unknown): MembershipMessageInput {
    const message = membershipMessageSchema.parse(params);
    this.membership.receive(message);
    return this.membership.buildMessage(message.from);
  }

  private async answerRelay(params: unknown): Promise<unknown> {
    const request = relayRequestSchema.parse(params);
    this.membership.receive(request);
    const answer = await this.parts.datagrams.call(
      request.target,
      'ping',
      this.membership.buildMessage(),
      DIRECT_PROBE_TIMEOUT_MS,
    );
    const parsed = membershipMessageSchema.safeParse(
      answer.unwrapOr(undefined),
    );
    if (parsed.success) this.membership.receive(parsed.data);
    return {
      ...this.membership.buildMessage(request.from),
      reached: parsed.success,
    };
  }
}
