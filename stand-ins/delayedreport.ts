const SAMPLE_PERIOD_MS = 10;

interface Sample<Report> {
  at: number;
  report: Report;
}

/** Reports a state with a delay, as it was `lagMs` ago. */
export class DelayedReport<Report> {
  private samples: Array<Sample<Report>> = [];
  private sampler?: NodeJS.Timeout;

  constructor(
    private readonly current: () => Report,
    private readonly lagMs: () => number,
  ) {}

  /**
   * The state as it was `lagMs` ago, or the oldest sample while there is none
   * that old. Sampling starts with the first read.
   */
  read(): Report {
    if (this.lagMs() <= 0) return this.current();
    this.startSampling();
    const latestAt = performance.now() - this.lagMs();
    while ((this.samples[1]?.at ?? Infinity) <= latestAt) this.samples.shift();
    return this.samples[0]?.report ?? this.current();
  }

  /** Stops sampling. */
  close(): void {
    clearInterval(this.sampler);
  }

  private startSampling(): void {
    if (this.sampler !== undefined) return;
    this.sample();
    this.sampler = setInterval(() => this.sample(), SAMPLE_PERIOD_MS);
    this.sampler.unref();
  }

  private sample(): void {
    const latestAt = performance.now() - this.lagMs();
    while ((this.samples[1]?.at ?? Infinity) <= latestAt) this.samples.shift();
    this.samples.push({at: performance.now(), report: this.current()});
  }
}
