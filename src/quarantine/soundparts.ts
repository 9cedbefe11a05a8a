import {isRequestPart} from './requestid.js';

/** Most parts whose last answer is remembered, without those of suspects. */
const MAX_PARTS = 8000;

/** When parts were last answered, of a bounded number. */
class Answers {
  private newer = new Map<string, number>();
  private older = new Map<string, number>();

  get(part: string): number | undefined {
    return this.newer.get(part) ?? this.older.get(part);
  }

  record(part: string, at: number): void {
    this.newer.set(part, Math.max(this.get(part) ?? at, at));
    if (this.newer.size < MAX_PARTS / 2) return;
    this.older = this.newer;
    this.newer = new Map();
  }
}

/**
 * When each part was last answered. Parts are kept in two halves: a part that
 * is answered goes to the newer one, and when that is full, the older one is
 * dropped. Those of suspects stay as long as the crash reports do. Whole
 * requests, of which most never come again, are kept apart.
 */
export class SoundParts {
  private readonly parts = new Answers();
  private readonly requests = new Answers();
  private readonly suspected = new Map<string, number | undefined>();

  /** Whether the part stands in a crash report. */
  isSuspected(part: string): boolean {
    return this.suspected.size > 0 && this.suspected.has(part);
  }

  /** Time of the last known answer, in monotonic ms. */
  answeredAt(part: string): number | undefined {
    return this.suspected.get(part) ?? this.answersTo(part).get(part);
  }

  /** Records an answer; an earlier one than that known has no effect. */
  record(part: string, at: number): void {
    if (!this.isSuspected(part)) {
      this.answersTo(part).record(part, at);
      return;
    }
    const known = this.suspected.get(part) ?? at;
    this.suspected.set(part, Math.max(known, at));
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
      this.suspected.set(part, this.answeredAt(part));
    }
  }

  private answersTo(part: string): Answers {
    return isRequestPart(part) ? this.requests : this.parts;
  }
}
