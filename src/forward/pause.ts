/**
 * Longest random delay after a pause, as a share of it. Instances that were
 * turned away together return at different times.
 */
const RETURN_JITTER_SHARE = 0.2;
/** Longest random delay after a pause, in ms. */
const MAX_RETURN_JITTER_MS = 1_000;
/** Number of requests that may be tried at once at which the return ends. */
const TRIAL_LIMIT = 8;

/** Whether an upstream may get a request, as far as its pause goes. */
export enum Admission {
  Open = 'open',
  /** It may get a request that shows whether its pause is over. */
  Trial = 'trial',
  /** Such requests are on their way, and no more may be sent. */
  Trying = 'trying',
  Paused = 'paused',
}

/** A request sent after a pause, until its response begins. */
export interface Trial {
  /** The upstream took the request; returns whether this ends the return. */
  succeed(): boolean;
  /** The request ended; has no effect after `succeed`. */
  end(): void;
}

type Phase =
  | {type: 'open'}
  | {
      type: 'paused';
      /** When it was last asked for, in monotonic ms. */
      askedAt: number;
      /** When a trial may be sent, in monotonic ms. */
      returnAt: number;
      /** Whether a liveness probe was sent during the pause. */
      probed: boolean;
    }
  /** `limit`: number of requests that may be tried at once. */
  | {type: 'returning'; limit: number; trials: Set<Trial>};

/**
 * A pause that an upstream asks of this instance. During it no request is
 * placed there. Afterwards one request is tried; with each that the upstream
 * takes, twice as many may be tried at once, until it counts as open.
 */
export class Pause {
  private phase: Phase = {type: 'open'};

  /**
   * Begins or extends a pause of `ms` ms; `random` is in [0, 1). Returns whether
   * it begins.
   */
  begin(now: number, ms: number, random: number): boolean {
    const jitterMs = Math.min(MAX_RETURN_JITTER_MS, ms * RETURN_JITTER_SHARE);
    const returnAt = now + ms + random * jitterMs;
    if (this.phase.type === 'paused' && now < this.phase.returnAt) {
      this.phase.askedAt = now;
      this.phase.returnAt = Math.max(this.phase.returnAt, returnAt);
      return false;
    }
    this.phase = {type: 'paused', askedAt: now, returnAt, probed: false};
    return true;
  }

  admission(now: number): Admission {
    const phase = this.phaseAt(now);
    switch (phase.type) {
      case 'open':
        return Admission.Open;
      case 'paused':
        return Admission.Paused;
      case 'returning':
        return phase.trials.size < phase.limit
          ? Admission.Trial
          : Admission.Trying;
    }
  }

  /** Time until a request may be placed, in ms; 0 if one may be now. */
  remainingMs(now: number): number {
    const phase = this.phaseAt(now);
    return phase.type === 'paused' ? phase.returnAt - now : 0;
  }

  /** Records a placed request; returns a trial if it is one. */
  place(now: number): Trial | undefined {
    const phase = this.phaseAt(now);
    if (phase.type !== 'returning') return undefined;
    const trial: Trial = {
      succeed: () => this.succeed(trial),
      end: () => {
        phase.trials.delete(trial);
      },
    };
    phase.trials.add(trial);
    return trial;
  }

  /**
   * Whether to hold back a request that was placed at `placedAt` and of which
   * nothing was sent yet: the pause was asked for since.
   */
  withholds(placedAt: number, now: number): boolean {
    const phase = this.phaseAt(now);
    return phase.type === 'paused' && phase.askedAt >= placedAt;
  }

  /** Whether a liveness probe may be sent; a pause admits one. */
  admitProbe(now: number): boolean {
    const phase = this.phaseAt(now);
    if (phase.type !== 'paused') return true;
    const admitted = !phase.probed;
    phase.probed = true;
    return admitted;
  }

  private succeed(trial: Trial): boolean {
    const {phase} = this;
    if (phase.type !== 'returning' || !phase.trials.delete(trial)) return false;
    phase.limit *= 2;
    if (phase.limit < TRIAL_LIMIT) return false;
    this.phase = {type: 'open'};
    return true;
  }

  private phaseAt(now: number): Phase {
    if (this.phase.type === 'paused' && now >= this.phase.returnAt) {
      this.phase = {type: 'returning', limit: 1, trials: new Set()};
    }
    return this.phase;
  }
}
