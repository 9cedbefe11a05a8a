import type {
  CrashReport,
  Evidence,
  Suspect,
} from '../../src/quarantine/index.js';
import {ManualTimer} from '../../src/timer/index.js';
import {Random} from '../random.js';
import type {Policy} from './policies.js';

const INSTANCES = 7;

/** Time with sound traffic alone, in ms. */
const WARMUP_MS = 15_000;

/** Time after it, in ms. */
const TROUBLE_MS = 40_000;

/** Sound requests a second and upstream. */
const SOUND_RATE = 4;

const MAX_ATTEMPTS = 3;

/** Longest time for which a request waits for an upstream, in ms. */
const MAX_WAIT_MS = 10_000;

/** Time between two looks at what a request waits for, in ms. */
const POLL_MS = 100;

/** What goes wrong in a run. */
export interface Scenario {
  name: string;
  upstreams: number;
  /** Groups of bad parts that requests have; each request has one group. */
  bad: string[][];
  /** Requests a second with each group. */
  badRate: number;
  /** Whether these parts are first parts. */
  isFirst?: boolean;
  /** Whether these parts are answered during the warm-up. */
  wasGood?: boolean;
  /** A sound part that only requests with a bad part have. */
  companion?: string;
  /** A first part that most sound requests have from the trouble on. */
  newFirst?: string;
  /** Instances that start anew with the trouble. */
  restarts?: number;
  /** Ends processes without a cause in the requests. */
  kill?: (kill: Killer) => void;
}

/** Ends processes in a run. */
export interface Killer {
  random: Random;
  upstreams: number;
  /** Ends the process of an upstream, some ms after the trouble begins. */
  at: (delayMs: number, upstream: number) => void;
}

/** What was measured in a run. */
export interface Outcome {
  /** Processes that bad requests ended. */
  crashes: number;
  /** Of these, the ones until all instances held a part of each group. */
  crashesUntilHeld: number;
  /** Time from the first crash until then, in ms; undefined if never. */
  heldAfterMs: number | undefined;
  /** Most attempts of a group sent later than 4 s after its fifth crash. */
  late: number;
  soundHeld: Set<string>;
  /** Sound first attempts that began an answer, from 8 s after the crash. */
  soundShare: number;
}

interface Attempt {
  request: string;
  parts: string[];
  /** Index of its bad parts, or undefined if it is sound. */
  group: number | undefined;
  number: number;
  instance: number;
  sentAt: number;
  hasHead: boolean;
  hasEvent: boolean;
}

interface Upstream {
  name: string;
  isUp: boolean;
  startedAt: number;
  attempts: Set<Attempt>;
}

/** Creates the policy of one instance of a fleet, by its index. */
export type PolicyFactory = (
  timer: ManualTimer,
  instance: number,
  instances: number,
  upstreams: number,
) => Policy;

class Run {
  readonly timer = new ManualTimer();
  readonly random: Random;
  private readonly policies: Policy[] = [];
  private readonly upstreams: Upstream[] = [];
  private readonly badParts: Set<string>;
  private readonly soundHeld = new Set<string>();
  private nextRequest = 0;
  private crashTimes: number[] = [];
  private heldAt: number | undefined;
  private readonly groupCrashTimes: number[][];
  private readonly late: number[];
  private begun = 0;
  private sent = 0;

  constructor(
    private readonly scenario: Scenario,
    seed: number,
    private readonly createPolicy: PolicyFactory,
  ) {
    this.random = new Random(seed);
    this.groupCrashTimes = scenario.bad.map(() => []);
    this.late = scenario.bad.map(() => 0);
    this.badParts = new Set(scenario.bad.flat());
    for (let index = 0; index < scenario.upstreams; index++) {
      const name = `upstream-${index}`;
      this.upstreams.push({
        name,
        isUp: true,
        startedAt: 1,
        attempts: new Set(),
      });
    }
    for (let index = 0; index < INSTANCES; index++) this.start(index);
  }

  async run(): Promise<Outcome> {
    const {timer, scenario, random} = this;
    this.poisson(SOUND_RATE * scenario.upstreams, () => this.sendSound());
    if (scenario.wasGood) this.startBad();
    await timer.advance(WARMUP_MS);
    for (let index = 0; index < (scenario.restarts ?? 0); index++) {
      this.start(index);
    }
    if (!scenario.wasGood) this.startBad();
    scenario.kill?.({
      random,
      upstreams: scenario.upstreams,
      at: (delayMs, index) => {
        timer.after(delayMs, () => {
          const upstream = this.upstreams[index];
          if (upstream !== undefined) this.crash(upstream);
        });
      },
    });
    timer.every(20, () => this.observe());
    await timer.advance(TROUBLE_MS);
    const heldAt = this.heldAt ?? Infinity;
    return {
      crashes: this.crashTimes.length,
      crashesUntilHeld: this.crashTimes.filter(at => at <= heldAt).length,
      heldAfterMs:
        this.heldAt === undefined
          ? undefined
          : this.heldAt - (this.crashTimes[0] ?? 0),
      late: Math.max(0, ...this.late),
      soundHeld: this.soundHeld,
      soundShare: this.sent === 0 ? 1 : this.begun / this.sent,
    };
  }

  private get isTroubled(): boolean {
    return this.timer.now() >= WARMUP_MS;
  }

  private start(index: number): void {
    const policy = this.createPolicy(
      this.timer,
      index,
      INSTANCES,
      this.scenario.upstreams,
    );
    this.policies[index] = policy;
    policy.subscribe(evidence => this.exchange(index, evidence));
  }

  private startBad(): void {
    const {scenario} = this;
    for (const [index, group] of scenario.bad.entries()) {
      this.poisson(scenario.badRate, () => this.sendBad(index, group));
    }
  }

  private poisson(rate: number, send: () => void): void {
    const delayMs = (-Math.log(1 - this.random.next()) * 1000) / rate;
    this.timer.after(delayMs, () => {
      send();
      this.poisson(rate, send);
    });
  }

  private middle(): string {
    return `middle-${Math.floor(300 ** this.random.next())}`;
  }

  private first(): string {
    if (this.random.next() < 0.2) {
      return `first-${1 + Math.floor(5 * this.random.next())}`;
    }
    return (this.isTroubled ? this.scenario.newFirst : undefined) ?? 'first-0';
  }

  private sendSound(): void {
    const request = `r${this.nextRequest++}`;
    const parts = [this.first(), this.middle(), this.middle(), request];
    this.send(request, parts);
  }

  private sendBad(index: number, group: string[]): void {
    const {companion, isFirst} = this.scenario;
    const request = `r${this.nextRequest++}`;
    const extra = companion !== undefined && this.random.next() < 0.7;
    const middles = [this.middle(), ...(extra ? [companion] : [])];
    const parts = isFirst
      ? [...group, ...middles, request]
      : [this.first(), ...this.random.shuffle([...group, ...middles]), request];
    this.send(request, parts, index);
  }

  private send(request: string, parts: string[], group?: number): void {
    const {timer, random} = this;
    const instance = Math.floor(random.next() * INSTANCES);
    this.attempt({
      request,
      parts,
      group,
      number: 1,
      instance,
      sentAt: timer.now(),
      hasHead: false,
      hasEvent: false,
    });
  }

  private attempt(attempt: Attempt): void {
    const {timer, random} = this;
    const now = timer.now();
    const policy = this.policies[attempt.instance];
    const fifth = this.crashTimes[4];
    const isCounted =
      fifth !== undefined && now > fifth + 8000 && attempt.number === 1;
    const isSound = attempt.group === undefined;
    if (isCounted && isSound) this.sent++;
    if (policy?.holdOf(attempt.parts) !== undefined) return;
    const up = this.upstreams.filter(upstream => upstream.isUp);
    if (up.length === 0) {
      if (now - attempt.sentAt > MAX_WAIT_MS) return;
      timer.after(POLL_MS, () => this.attempt(attempt));
      if (isCounted && isSound) this.sent--;
      return;
    }
    const rationed = policy?.rationed(attempt.parts) ?? [];
    if (policy !== undefined && rationed.length > 0) {
      if (!policy.hasTurn(attempt.parts)) {
        if (now - attempt.sentAt > MAX_WAIT_MS) return;
        timer.after(POLL_MS, () => this.attempt(attempt));
        if (isCounted && isSound) this.sent--;
        return;
      }
      policy.takeTurn(attempt.parts);
    }
    if (attempt.group !== undefined) {
      const fifthOfGroup = this.groupCrashTimes[attempt.group]?.[4];
      const isLate = now > (fifthOfGroup ?? Infinity) + 4000;
      if (isLate) {
        this.late[attempt.group] = (this.late[attempt.group] ?? 0) + 1;
      }
    }
    const upstream = random.pick(up);
    const sent = {...attempt, sentAt: now};
    const crashes = attempt.group !== undefined && this.isTroubled;
    upstream.attempts.add(sent);
    timer.after(random.between(20, 60), () => {
      if (!upstream.attempts.has(sent)) return;
      sent.hasHead = true;
      const {group} = sent;
      if (group !== undefined && crashes) {
        timer.after(random.between(75, 110), () => {
          if (!upstream.attempts.has(sent)) return;
          this.crashTimes.push(timer.now());
          this.groupCrashTimes[group]?.push(timer.now());
          this.crash(upstream);
        });
        return;
      }
      const isSlow = random.next() < 0.05;
      const firstMs = isSlow
        ? random.between(500, 3000)
        : random.between(20, 200);
      timer.after(firstMs, () => {
        if (!upstream.attempts.has(sent)) return;
        sent.hasEvent = true;
        if (isCounted) this.begun++;
        policy?.recordAnswer(sent.parts);
      });
      timer.after(firstMs + random.between(200, 5000), () => {
        upstream.attempts.delete(sent);
      });
    });
  }

  private crash(upstream: Upstream): void {
    if (!upstream.isUp) return;
    const {timer, random} = this;
    const at = timer.now();
    const {startedAt} = upstream;
    const attempts = [...upstream.attempts];
    upstream.attempts.clear();
    upstream.isUp = false;
    timer.after(random.between(3000, 8000), () => {
      upstream.isUp = true;
      upstream.startedAt = timer.wallNow();
    });
    for (const [instance, policy] of this.policies.entries()) {
      const own = attempts.filter(attempt => attempt.instance === instance);
      if (own.length === 0) continue;
      timer.after(random.between(1, 30), () => {
        const suspects: Suspect[] = own
          .filter(attempt => attempt.hasHead && !attempt.hasEvent)
          .map(({request, parts, sentAt}) => ({
            request,
            parts: parts.slice(0, -1),
            openMs: at - sentAt,
          }));
        const report: CrashReport = {
          type: 'crash',
          upstream: upstream.name,
          startedAt,
          reporter: `instance-${instance}`,
          suspects,
          at,
        };
        if (suspects.length > 0) policy.recordCrash(report);
        for (const attempt of own) this.repeat(policy, attempt);
      });
    }
  }

  private repeat(policy: Policy, attempt: Attempt): void {
    if (attempt.hasEvent || attempt.number >= MAX_ATTEMPTS) return;
    this.timer.after(50, () => {
      if (!policy.mayRepeat(attempt.parts)) return;
      this.attempt({
        ...attempt,
        number: attempt.number + 1,
        sentAt: this.timer.now(),
        hasHead: false,
      });
    });
  }

  private exchange(from: number, evidence: Evidence): void {
    for (const [index, policy] of this.policies.entries()) {
      if (index === from) continue;
      this.timer.after(this.random.between(50, 500), () => {
        policy.learn(evidence);
      });
    }
  }

  private observe(): void {
    for (const policy of this.policies) {
      for (const part of policy.held()) {
        if (!this.badParts.has(part)) this.soundHeld.add(part);
      }
    }
    if (this.heldAt !== undefined || this.scenario.bad.length === 0) return;
    const isHeld = this.policies.every(policy =>
      this.scenario.bad.every(group =>
        group.some(part => policy.held().includes(part)),
      ),
    );
    if (isHeld) this.heldAt = this.timer.now();
  }
}

/** Runs a scenario with one policy in all instances. */
export function runScenario(
  scenario: Scenario,
  seed: number,
  createPolicy: PolicyFactory,
): Promise<Outcome> {
  return new Run(scenario, seed, createPolicy).run();
}
