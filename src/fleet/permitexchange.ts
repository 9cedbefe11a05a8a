import type {Subscription, Timer} from '../timer/index.js';
import type {Datagrams} from './datagrams.js';
import {Issuers} from './issuers.js';
import type {Peers} from './peers.js';
import {PermitIssuer, type Grant} from './permitissuer.js';
import {
  PERMITS_METHOD,
  permitsMessageSchema,
  processKey,
  WANT_METHOD,
  wantMessageSchema,
  type PermitAnswer,
  type RateStatement,
  type UpstreamProcess,
  type WantMessage,
} from './permitmessage.js';

/** Period of asking for permits and of issuing them, in ms. */
const TICK_MS = 25;
/** Time after which a want is sent again, in ms. */
const RENEWAL_MS = 150;
/** Time after which an instance that doesn't answer is suspected, in ms. */
const ANSWER_MS = 400;
/** Age of a want above which its permits are no longer used, in ms. */
const MAX_ANSWER_AGE_MS = 700;
/** Time for which another instance's choice of the issuer is followed, in ms. */
const REFERRAL_MS = 1_000;
/** Upstreams that are asked for at a time, for each request that waits. */
const WANTS_PER_REQUEST = 2;

/** What an instance could send to an upstream that declares a rate. */
export interface PermitDemand {
  service: string;
  upstream: UpstreamProcess;
  /** Availability zone of the upstream. */
  zone: string;
  statement: RateStatement;
  /** Requests of the service that wait. */
  waiting: number;
  /** Permits to ask for. */
  count: number;
  /** Tier of the most urgent of these; undefined if none waits. */
  tier?: number;
}

/** What [[PermitExchange]] knows of the upstreams, and tells of them. */
export interface PermitUpstreams {
  /** Whether an upstream declares a rate. */
  isNeeded(): boolean;
  /** Upstreams that declare a rate and have requests, without permits. */
  demands(): PermitDemand[];
  /** Zone and declared rate of an upstream; undefined if it isn't known. */
  find(
    upstream: UpstreamProcess,
  ): {zone: string; perSecond?: number} | undefined;
  learn(statement: RateStatement): void;
  grant(upstream: UpstreamProcess, count: number): void;
  expect(upstream: UpstreamProcess, waitMs: number): void;
}

/** Dependencies of [[PermitExchange]]. */
export interface PermitExchangeParts {
  /** Name of this instance. */
  name: string;
  /** Availability zone of this instance. */
  zone: string;
  peers: Peers;
  datagrams: Datagrams;
  timer: Timer;
  upstreams: PermitUpstreams;
  /**
   * Since when each instance is heard that was heard lately, in monotonic ms, by
   * name.
   */
  heardSince(): ReadonlyMap<string, number>;
}

/** A want of this instance. */
interface SentWant {
  issuer: string;
  sentAt: number;
  /** When the issuer was first asked without an answer, in monotonic ms. */
  unansweredSince?: number;
  /** The issuer that another instance named. */
  referral?: {issuer: string; at: number};
  /** An instance that leaves issuing to others, and until when. */
  declined?: {by: string; until: number};
}

/**
 * Asks for permits to send requests to upstreams that declare a rate, and issues
 * them for those upstreams that are this instance's. Does nothing while no
 * upstream declares a rate. Whoever gets no answer sends nothing.
 */
export class PermitExchange {
  private readonly issuer = new PermitIssuer();
  private readonly issuers: Issuers;
  /** The newest want for each upstream. */
  private readonly sent = new Map<string, SentWant>();
  /** When each want was sent whose permits may be used, by its number. */
  private readonly sentAt = new Map<number, number>();
  private lastId = 0;
  private ticks?: Subscription;

  constructor(private readonly parts: PermitExchangeParts) {
    const {datagrams, timer} = parts;
    this.issuers = new Issuers({...parts, startedAt: timer.now()});
    datagrams.handle(WANT_METHOD, params => this.receiveWants(params));
    datagrams.handle(PERMITS_METHOD, params => this.receivePermits(params));
  }

  /** Begins to ask and to issue; to be called when an upstream declares a rate. */
  wake(): void {
    this.ticks ??= this.parts.timer.every(TICK_MS, () => this.tick());
  }

  end(): void {
    this.ticks?.end();
    this.ticks = undefined;
  }

  private tick(): void {
    if (!this.parts.upstreams.isNeeded() && !this.issuer.hasWants) {
      this.end();
      return;
    }
    // Notes whether this instance is cut off from the others.
    this.issuers.share(this.parts.timer.now());
    this.ask();
    this.issue();
  }

  private ask(): void {
    const {name, timer} = this.parts;
    const now = timer.now();
    for (const [id, sentAt] of this.sentAt) {
      if (now - sentAt > MAX_ANSWER_AGE_MS) this.sentAt.delete(id);
    }
    const byIssuer = new Map<string, WantMessage['wants']>();
    for (const demand of this.selectDemands(now)) {
      const {upstream, statement, count, tier} = demand;
      const key = processKey(upstream);
      const issuer = this.issuerOf(demand, this.sent.get(key), now);
      const previous = this.sent.get(key);
      const isSame = previous?.issuer === issuer;
      const id = ++this.lastId;
      const unansweredSince = isSame ? previous.unansweredSince : undefined;
      this.sent.set(key, {
        ...previous,
        issuer,
        sentAt: now,
        unansweredSince: unansweredSince ?? now,
      });
      this.sentAt.set(id, now);
      const want = {
        id,
        statement,
        count,
        ...(tier === undefined ? {} : {tier}),
        ...declinedBy(previous?.declined, now),
      };
      if (issuer === name) {
        this.acceptAnswer(name, this.acceptWant(name, want, upstream));
        continue;
      }
      byIssuer.set(issuer, [...(byIssuer.get(issuer) ?? []), want]);
    }
    for (const [issuer, wants] of byIssuer) {
      this.send(issuer, WANT_METHOD, {from: name, wants});
    }
  }

  /** The demands to tell now, of each service a few at a time. */
  private selectDemands(now: number): PermitDemand[] {
    const byService = new Map<string, PermitDemand[]>();
    for (const demand of this.parts.upstreams.demands()) {
      const demands = byService.get(demand.service) ?? [];
      byService.set(demand.service, [...demands, demand]);
    }
    const sentAt = ({upstream}: PermitDemand) =>
      this.sent.get(processKey(upstream))?.sentAt ?? -Infinity;
    const isPending = (demand: PermitDemand) =>
      now - sentAt(demand) < RENEWAL_MS;
    return [...byService.values()].flatMap(demands => {
      const {waiting} = demands[0] ?? {waiting: 0};
      const most = WANTS_PER_REQUEST * Math.max(1, waiting);
      const pending = demands.filter(isPending).length;
      return demands
        .filter(demand => !isPending(demand))
        .sort((a, b) => sentAt(a) - sentAt(b))
        .slice(0, Math.max(0, most - pending));
    });
  }

  private issuerOf(
    {upstream, zone}: PermitDemand,
    sent: SentWant | undefined,
    now: number,
  ): string {
    const {unansweredSince = now, issuer, referral} = sent ?? {};
    if (issuer !== undefined && now - unansweredSince > ANSWER_MS) {
      this.issuers.suspect(issuer, now);
    } else if (referral !== undefined && now - referral.at < REFERRAL_MS) {
      return referral.issuer;
    }
    return this.issuers.issuerOf(processKey(upstream), zone, now);
  }

  private issue(): void {
    const {name, timer} = this.parts;
    const byInstance = new Map<string, PermitAnswer[]>();
    for (const grant of this.issuer.issue(timer.now())) {
      const answer = answerOf(grant);
      if (grant.to === name) {
        this.acceptAnswer(name, answer);
        continue;
      }
      byInstance.set(grant.to, [...(byInstance.get(grant.to) ?? []), answer]);
    }
    for (const [instance, answers] of byInstance) {
      this.send(instance, PERMITS_METHOD, {from: name, answers});
    }
  }

  /** Notes that this instance stood still for a while. */
  noteStall(): void {
    this.issuers.unsettle(this.parts.timer.now());
  }

  private receiveWants(params: unknown): void {
    const {data} = wantMessageSchema.safeParse(params);
    if (data === undefined) return;
    const {name} = this.parts;
    const answers = data.wants.map((want): PermitAnswer => {
      const [id, startedAt] = want.statement;
      this.parts.upstreams.learn(want.statement);
      return this.acceptWant(data.from, want, [id, startedAt]);
    });
    this.send(data.from, PERMITS_METHOD, {from: name, answers});
    this.issue();
    this.wake();
  }

  /** Takes a want, or names the instance to ask instead. */
  private acceptWant(
    from: string,
    {id, statement, count, tier, declinedBy}: WantMessage['wants'][number],
    upstream: UpstreamProcess,
  ): PermitAnswer {
    const {name, timer, upstreams} = this.parts;
    const now = timer.now();
    if (declinedBy !== undefined) {
      const [other, settlesMs] = declinedBy;
      this.issuers.decline(other, now + settlesMs);
    }
    const key = processKey(upstream);
    const known = upstreams.find(upstream);
    const issuer =
      known === undefined ? name : this.issuers.issuerOf(key, known.zone, now);
    if (issuer !== name) {
      const settlesMs = Math.round(this.issuers.unsettledMs(now));
      return {upstream, id, count: 0, issuer, settlesMs};
    }
    const perSecond = known?.perSecond ?? statement[2] ?? 0;
    const share = this.issuers.share(now);
    this.issuer.want(
      key,
      perSecond * share,
      {from, id, count, ...(tier === undefined ? {} : {tier})},
      now,
    );
    const waitMs = this.issuer.waitMs(key, from) ?? 0;
    return {upstream, id, count: 0, waitMs: Math.round(waitMs)};
  }

  private receivePermits(params: unknown): void {
    const {data} = permitsMessageSchema.safeParse(params);
    for (const answer of data?.answers ?? []) {
      this.acceptAnswer(data?.from ?? '', answer);
    }
  }

  private acceptAnswer(
    from: string,
    {upstream, id, count, waitMs, issuer, settlesMs = 0}: PermitAnswer,
  ): void {
    const {upstreams, timer} = this.parts;
    const now = timer.now();
    const sent = this.sent.get(processKey(upstream));
    const sentAt = this.sentAt.get(id);
    // An issuer that was frozen answers what nobody waits for any more.
    const isLate = sentAt === undefined || now - sentAt > MAX_ANSWER_AGE_MS;
    if (sent === undefined || isLate) return;
    if (from === sent.issuer) delete sent.unansweredSince;
    this.issuers.trust(from);
    if (settlesMs > 0 && from !== this.parts.name) {
      sent.declined = {by: from, until: now + settlesMs};
      this.issuers.decline(from, now + settlesMs);
    }
    if (issuer !== undefined) {
      sent.referral = {issuer, at: now};
    }
    if (waitMs !== undefined) upstreams.expect(upstream, waitMs);
    if (count === 0) return;
    upstreams.grant(upstream, count);
    sent.sentAt = Math.min(sent.sentAt, now - RENEWAL_MS);
  }

  private send(to: string, method: string, message: unknown): void {
    const address = this.parts.peers.addressOf(to);
    if (address === undefined) return;
    this.parts.datagrams.broadcast([address], method, message);
  }
}

/** Tells the next instance to be asked why the one before it wasn't. */
function declinedBy(
  declined: SentWant['declined'],
  now: number,
): Pick<WantMessage['wants'][number], 'declinedBy'> {
  if (declined === undefined || declined.until <= now) return {};
  return {declinedBy: [declined.by, Math.round(declined.until - now)]};
}

function answerOf({upstream, id, count}: Grant): PermitAnswer {
  const split = upstream.lastIndexOf(' ');
  const process: UpstreamProcess = [
    upstream.slice(0, split),
    Number(upstream.slice(split + 1)),
  ];
  return {upstream: process, id, count};
}
