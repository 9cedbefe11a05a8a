/** Most parts whose last answer is remembered, without those of suspects. */
const MAX_PARTS = 10_000;

/**
 * When each part was last answered. The part that was answered least recently
 * goes first; those of suspects stay as long as the crash reports do.
 */
export class SoundParts {
  private readonly recent = new Map<string, number>();
  private readonly suspected = new Map<string, number | undefined>();

  /** Whether the part stands in a crash report. */
  isSuspected(part: string): boolean {
    return this.suspected.size > 0 && this.suspected.has(part);
  }

  /** Time of the last known answer, in monotonic ms. */
  answeredAt(part: string): number | undefined {
    return this.suspected.get(part) ?? this.recent.get(part);
  }

  /** Records an answer; an earlier one than that known has no effect. */
  record(part: string, at: number): void {
    const known = this.answeredAt(part);
    const last = known === undefined ? at : Math.max(known, at);
    if (this.isSuspected(part)) {
      this.suspected.set(part, last);
      return;
    }
    this.recent.delete(part);
    this.recent.set(part, last);
    if (this.recent.size <= MAX_PARTS) return;
    const [oldest] = this.recent.keys();
    if (oldest !== undefined) this.recent.delete(oldest);
  }

  /** Keeps the parts of the suspects apart from the others. */
  suspect(parts: ReadonlySet<string>): void {
    for (const [part, at] of this.suspected) {
      if (parts.has(part)) continue;
      this.suspected.delete(part);
      if (at !== undefined) this.record(part, at);
    }
    for (const part of parts) {
      if (this.suspected.has(part)) continue;
      this.suspected.set(part, this.recent.get(part));
      this.recent.delete(part);
    }
  }
}
