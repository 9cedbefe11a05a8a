import {Path, RelayFailure} from '../relay/index.js';
import type {Timer} from '../timer/index.js';
import {Closing, type Connection} from './connections.js';
import type {Endpoint} from './endpoint.js';
import type {LivenessProber} from './liveness.js';
import type {Answers} from './answers.js';
import {fetchReport} from './processreport.js';
import type {Protocol} from './protocol.js';
import type {ResponseObserver} from './responseobserver.js';

/** Time between the ends of connections that one cause may have, in ms. */
const TOGETHER_MS = 250;
/**
 * Time for ends of connections to be read before the upstream is asked, in ms. An
 * end that is followed by bytes from here may be read as a reset.
 */
const SETTLE_MS = 20;
/** Time within which an upstream must answer a question, in ms. */
const PATIENCE_MS = 500;
/** A connection that stood for less than this isn't opened again, in ms. */
const MIN_STANDING_MS = 500;

/** Dependencies of [[Witness]]. */
export interface WitnessParts {
  protocol: Protocol;
  timer: Timer;
  observer: ResponseObserver;
  answers: Answers;
  prober: Pick<LivenessProber, 'refuses'>;
}

/** Who ended an answer that ends with its connection, as far as can be told. */
export enum AnswerEnd {
  /** Nothing shows that it wasn't its upstream, on purpose. */
  Whole = 'whole',
  /** Its process has ended, or closed other connections as well. */
  Broken = 'broken',
  /** No other connection stood by then whose state would show it. */
  Unknown = 'unknown',
}

/** What became of a question to an upstream, on a connection of its own. */
type Finding =
  /** `startedAt`: start of the process, in Unix ms, if it reported that. */
  | {type: 'answered'; startedAt?: number}
  /** It takes no question, but its address accepts connections. */
  | {type: 'unasked'}
  /** As if the upstream had dropped the connection, or had too many. */
  | {type: 'reset'}
  /** The connection ended in order, or the upstream refuses it. */
  | {type: 'ended'}
  /** None could be opened, but not as the upstream or the peer refused it. */
  | {type: 'unreached'}
  /** The peer that would relay it is up, and opens none. */
  | {type: 'refused'}
  | {type: 'silent'};

/** An answer that uses a [[Witness]]. */
export interface User {
  /**
   * Start of the process that was reported first since its head, in Unix ms, also
   * if the connection of that report has ended.
   */
  reportedStart?: number;
}

/** A connection beside those of answers without a length, by the same way. */
export class Witness {
  private readonly users = new Set<User>();
  /** Questions that wait for their response. */
  private questions = 0;
  private connection?: Connection;
  /** Since when its other end is known to answer on it, in monotonic ms. */
  private standsSince?: number;
  private opening?: Promise<Finding>;
  /** The last connection that was replaced, as it was silent. */
  private replaced?: Connection;
  private check: Promise<unknown> = Promise.resolve();
  private nextCheck?: Promise<Finding>;

  constructor(
    private readonly parts: WitnessParts,
    private readonly endpoint: Endpoint,
    /** A connection of the same way. */
    private readonly sample: Connection,
  ) {}

  join(user: User): void {
    this.users.add(user);
    const reported = this.connection?.processStartedAt;
    if (reported !== undefined) user.reportedStart = reported;
    if (this.connection !== undefined) return;
    const idle = this.takeIdle();
    if (idle === undefined) void this.open();
    else if (idle.processStartedAt === undefined) void this.checkNext();
    else user.reportedStart = idle.processStartedAt;
  }

  /** Returns the number of users that are left. */
  leave(user: User): number {
    this.users.delete(user);
    if (this.users.size === 0) this.release();
    return this.users.size;
  }

  /**
   * Judges an answer that ends now. Its process started at `known`, in Unix ms;
   * else, by its entry, which may be out of date, at `startedAt`.
   */
  async judge(
    {known, startedAt}: {known?: number; startedAt?: number},
    {reportedStart}: User,
    leftMs: number,
  ): Promise<AnswerEnd> {
    const {timer} = this.parts;
    const since = timer.now() - TOGETHER_MS;
    const before = this.connection?.isConnected ? this.connection : undefined;
    const expected =
      known ?? before?.processStartedAt ?? reportedStart ?? startedAt;
    const hasStood = before !== undefined && this.standsSince !== undefined;
    await timer.sleep(Math.min(SETTLE_MS, leftMs));
    if (this.wasLostSince(since)) return AnswerEnd.Broken;
    const until = timer.now() + Math.min(PATIENCE_MS, leftMs);
    const asking = this.within(until, this.ask());
    const asked = this.connection;
    let finding = await asking;
    if (finding.type === 'refused') finding = await this.askElsewhere(until);
    if (this.wasLostSince(since)) return AnswerEnd.Broken;
    switch (finding.type) {
      case 'answered': {
        const reported = finding.startedAt ?? expected;
        const isSame = expected === undefined || reported === expected;
        return isSame ? this.endBeside(hasStood) : AnswerEnd.Broken;
      }
      case 'unasked':
      case 'refused':
        return AnswerEnd.Whole;
      case 'reset':
        return this.endBeside(hasStood);
      case 'ended':
      case 'unreached':
        return AnswerEnd.Broken;
      case 'silent': {
        // Another answer that ended at this time may have had it replaced.
        if (this.connection === asked) this.replace();
        // Whatever ended the answer left its neighbour open.
        const wasLeft =
          before !== undefined && (before.open || before === this.replaced);
        return wasLeft ? this.endBeside(hasStood) : AnswerEnd.Broken;
      }
    }
  }

  /** The end of an answer where no sign shows that it broke off. */
  private endBeside(hasStood: boolean): AnswerEnd {
    // No connection ever stands where each is closed after a response.
    const isTold = hasStood || this.endpoint.connections.closesEach;
    return isTold ? AnswerEnd.Whole : AnswerEnd.Unknown;
  }

  /** What a question finds up to a time, in monotonic ms. */
  private async within(
    until: number,
    question: Promise<Finding>,
  ): Promise<Finding> {
    const {timer} = this.parts;
    const controller = new AbortController();
    const silence = timer
      .sleep(Math.max(0, until - timer.now()), controller.signal)
      .then((): Finding => ({type: 'silent'}));
    const finding = await Promise.race([question, silence]);
    controller.abort();
    return finding;
  }

  /**
   * Asks the upstream by any way, as the peer that relayed the answer refuses
   * another connection. That peer is up, so it didn't end the answer by its end;
   * what reaches no upstream shows nothing more.
   */
  private async askElsewhere(until: number): Promise<Finding> {
    const connection = this.endpoint.connections.open();
    connection.reopens = false;
    const finding = await this.within(until, this.askOn(connection));
    const isUnreached =
      finding.type === 'unreached' ||
      (finding.type === 'silent' && !connection.hasConnected);
    connection.destroy();
    return isUnreached ? {type: 'refused'} : finding;
  }

  /** Opens another connection in place of one that is silent. */
  private replace(): void {
    const {connection} = this;
    if (connection !== undefined) {
      this.replaced = connection;
      connection.destroy();
    }
    delete this.connection;
    delete this.standsSince;
    delete this.opening;
    delete this.nextCheck;
    this.check = Promise.resolve();
    if (this.users.size > 0) void this.open();
  }

  /** Whether the other end closed a connection that carried nothing. */
  private wasLostSince(from: number): boolean {
    return this.endpoint.connections.idleEnds.unusualAt > from;
  }

  /** Asks the upstream on the connection that stands, or on a new one. */
  private async ask(): Promise<Finding> {
    const finding = await (this.standsSince === undefined
      ? (this.opening ?? this.open())
      : this.checkNext());
    // What began before the end of the answer shows nothing of it.
    const isRepeated = finding.type === 'reset' || finding.type === 'refused';
    return isRepeated ? (this.opening ?? this.open()) : finding;
  }

  /** Takes an idle connection, or opens one and asks on it. */
  private open(): Promise<Finding> {
    if (this.users.size === 0) return Promise.resolve({type: 'silent'});
    if (this.takeIdle() !== undefined) return this.checkNext();
    const connection = this.endpoint.connections.openLike(this.sample);
    this.use(connection);
    const opening = this.askOn(connection).finally(() => {
      if (this.opening === opening) delete this.opening;
    });
    this.opening = opening;
    return opening;
  }

  /** Takes an idle connection of the same way, which stands already. */
  private takeIdle(): Connection | undefined {
    if (this.sample.path !== Path.Direct) return undefined;
    const idle = this.endpoint.connections.takeIdle();
    if (idle === undefined) return undefined;
    this.use(idle);
    // It has outlasted a response, however soon its idle time ends.
    this.standsSince = -Infinity;
    return idle;
  }

  private use(connection: Connection): void {
    connection.reopens = false;
    this.connection = connection;
    void connection.closed.then(() => this.handleClose(connection));
  }

  private handleClose(connection: Connection): void {
    if (connection !== this.connection) return;
    const now = this.parts.timer.now();
    const stoodMs = now - (this.standsSince ?? now);
    if (
      this.standsSince !== undefined &&
      connection.closedBy !== Closing.Here
    ) {
      this.endpoint.connections.idleEnds.note(connection.idleSince, now);
    }
    const isClosedAtOnce = stoodMs < MIN_STANDING_MS;
    if (connection.hasResponded && connection.closedBy === Closing.Here) {
      this.endpoint.connections.closesEach = isClosedAtOnce;
    }
    delete this.connection;
    delete this.standsSince;
    // Some upstreams close each connection after a response.
    if (this.users.size > 0 && stoodMs >= MIN_STANDING_MS) void this.open();
  }

  /**
   * Asks on the connection that stands. Answers that end at the same time share a
   * question, but one that began earlier shows nothing of a later end.
   */
  private checkNext(): Promise<Finding> {
    this.nextCheck ??= this.check.then(() => {
      delete this.nextCheck;
      const check = this.askStanding();
      this.check = check;
      return check;
    });
    return this.nextCheck;
  }

  private async askStanding(): Promise<Finding> {
    const {connection} = this;
    const askedAt = this.parts.timer.now();
    const finding =
      connection === undefined ? undefined : await this.askOn(connection);
    // Whichever side closed it, after a time-out its end shows nothing.
    const wasIdle =
      connection?.closedBy === Closing.Here ||
      (connection?.closedBy === Closing.OtherEnd &&
        !this.wasLostSince(askedAt));
    if (finding?.type === 'answered') return finding;
    if (finding !== undefined && !wasIdle) return finding;
    return this.opening ?? this.open();
  }

  /** Asks for the upstream's report, if it takes a request beyond its callers'. */
  private async askOn(connection: Connection): Promise<Finding> {
    const {parts, endpoint} = this;
    const {protocol, timer, observer, answers} = parts;
    const isPaused = endpoint.pause.remainingMs(timer.now()) > 0;
    if (isPaused || endpoint.limit.perSecond !== undefined) {
      const refuses = await parts.prober.refuses(endpoint, this.sample.path);
      return {type: refuses ? 'ended' : 'unasked'};
    }
    let asksForPause = false;
    this.questions++;
    const report = await fetchReport({
      endpoint,
      connection,
      protocol,
      timer,
      answers,
      signal: NEVER,
      observe: head => {
        asksForPause = observer.observe(endpoint, head);
      },
    });
    this.questions--;
    if (report.isErr()) return findingOf(report.error, connection);
    connection.idleSince = timer.now();
    const {status, body} = report.value;
    // A proxy answers so where its back end has gone; it asks for no pause.
    if (GATEWAY_FAILURES.has(status) && !asksForPause) return {type: 'ended'};
    const {startedAt} = status === 200 ? protocol.readReport(body) : {};
    if (connection === this.connection && connection.open) {
      this.standsSince ??= timer.now();
    }
    if (startedAt === undefined) return {type: 'answered'};
    connection.processStartedAt = startedAt;
    for (const user of this.users) user.reportedStart ??= startedAt;
    return {type: 'answered', startedAt};
  }

  private release(): void {
    const {connection} = this;
    const isIntact = this.standsSince !== undefined && this.questions === 0;
    delete this.connection;
    delete this.standsSince;
    if (connection === undefined) return;
    connection.reopens = true;
    this.endpoint.connections.release(connection, isIntact);
  }
}

const GATEWAY_FAILURES = new Set([502, 503, 504]);
const NEVER = new AbortController().signal;

/** What a question shows that failed on a connection. */
function findingOf(
  error: NodeJS.ErrnoException,
  {hasConnected}: Connection,
): Finding {
  if (error instanceof RelayFailure && error.isRefusal) {
    return {type: 'refused'};
  }
  if (error.code === 'ECONNRESET') return {type: 'reset'};
  const isAnswered = hasConnected || error.code === 'ECONNREFUSED';
  return {type: isAnswered ? 'ended' : 'unreached'};
}
