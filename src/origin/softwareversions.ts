import type {Timer} from '../timer/index.js';

/** Time for which a version that left may still have broken streams, in ms. */
const REMEMBERED_MS = 30_000;

/** How many software versions of a service may have begun the known streams. */
export enum VersionMix {
  /** One, for long enough that no stream of another is taken up anymore. */
  Sole = 'sole',
  /** One now and by the store's record; other instances may know of more. */
  Unsettled = 'unsettled',
  /** One now; the store's record of earlier ones wasn't read yet. */
  Unread = 'unread',
  /** One now; the store has no record that tells of all earlier ones. */
  Unrecorded = 'unrecorded',
  /** One, by entries that are out of date. */
  Outdated = 'outdated',
  /** Several. */
  Mixed = 'mixed',
}

/** The upstream of an entry, as far as this module needs it. */
export interface VersionedUpstream {
  service: string;
  softwareVersion: string;
}

/** The versions of a service that may have begun streams, as recorded. */
export interface RecordedVersions {
  softwareVersions: readonly string[];
  /** Whether there were no others, as far as its writer could know. */
  isComplete: boolean;
}

/** A version that was the only one of its service until another one joined. */
interface EarlierVersion {
  softwareVersion: string;
  /** When the other one joined, in monotonic ms. */
  until: number;
}

/** The software versions of the registered upstreams, now and lately. */
export class SoftwareVersions {
  /** When the upstreams were first known, in monotonic ms. */
  private knownSince?: number;
  private present = new Map<string, Set<string>>();
  /** When each version that is gone was last registered, by service. */
  private readonly left = new Map<string, Map<string, number>>();
  private readonly earlier = new Map<string, EarlierVersion>();
  /** Versions by service as the store has them; absent until it was read. */
  private recorded?: ReadonlyMap<string, RecordedVersions>;

  constructor(
    private readonly timer: Timer,
    /** Whether the whole system starts for the first time. */
    private readonly isFirstStart = false,
  ) {}

  /** Takes all registered upstreams. */
  apply(upstreams: Iterable<VersionedUpstream>): void {
    const now = this.timer.now();
    this.knownSince ??= now;
    const present = new Map<string, Set<string>>();
    for (const {service, softwareVersion} of upstreams) {
      const versions = present.get(service) ?? new Set();
      present.set(service, versions.add(softwareVersion));
    }
    const alone = this.versionsAlone();
    for (const [service, versions] of this.present) {
      for (const version of versions) {
        if (present.get(service)?.has(version) === true) continue;
        const left = this.left.get(service) ?? new Map<string, number>();
        this.left.set(service, left.set(version, now));
      }
    }
    this.present = present;
    for (const [service, softwareVersion] of alone) {
      if (this.mixOf(service) !== VersionMix.Mixed) continue;
      this.earlier.set(service, {softwareVersion, until: now});
    }
  }

  /**
   * Takes what the store tells: the versions of each service that may have begun
   * streams. They count as long as this instance hasn't watched the upstreams for
   * long enough to know itself.
   */
  applyRecorded(recorded: ReadonlyMap<string, RecordedVersions>): void {
    this.recorded = recorded;
  }

  /** The versions of a service as the store has them; undefined if unread. */
  recordedOf(service: string): readonly string[] | undefined {
    if (this.recorded === undefined) return undefined;
    return this.recorded.get(service)?.softwareVersions ?? [];
  }

  /**
   * Whether no other version than those of [[versionsOf]] can have begun a stream
   * that is taken up now. The absence of a record doesn't show that: the store may
   * have refused it or lost it.
   */
  isComplete(service: string): boolean {
    if (!this.isNew()) return true;
    if (this.recorded === undefined) return false;
    const {isComplete = false} = this.recorded.get(service) ?? {};
    return isComplete || this.isFirstStart;
  }

  /** Services with upstreams. */
  services(): Iterable<string> {
    return this.present.keys();
  }

  /** The versions that may have begun streams which are taken up now. */
  versionsOf(service: string): Set<string> {
    const now = this.timer.now();
    const versions = new Set(this.present.get(service));
    for (const [version, at] of this.left.get(service) ?? []) {
      if (now - at <= REMEMBERED_MS) versions.add(version);
      else this.left.get(service)?.delete(version);
    }
    if (this.isNew()) {
      for (const version of this.recordedOf(service) ?? []) {
        versions.add(version);
      }
    }
    return versions;
  }

  /**
   * The version that was alone when this instance saw another one join; undefined
   * if it saw none join, or so long ago that no stream of that time is taken up.
   */
  versionBefore(service: string): string | undefined {
    const earlier = this.earlier.get(service);
    if (earlier === undefined) return undefined;
    const isRecent = this.timer.now() - earlier.until <= REMEMBERED_MS;
    return isRecent ? earlier.softwareVersion : undefined;
  }

  mixOf(service: string): VersionMix {
    if (this.versionsOf(service).size > 1) return VersionMix.Mixed;
    if (!this.isNew()) return VersionMix.Sole;
    if (this.recorded === undefined) return VersionMix.Unread;
    return this.isComplete(service)
      ? VersionMix.Unsettled
      : VersionMix.Unrecorded;
  }

  /** The most mixed of several services. */
  mixOfAll(services: readonly string[]): VersionMix {
    const mixes = services.map(service => this.mixOf(service));
    const order = [
      VersionMix.Mixed,
      VersionMix.Unread,
      VersionMix.Unrecorded,
      VersionMix.Unsettled,
    ];
    return order.find(mix => mixes.includes(mix)) ?? VersionMix.Sole;
  }

  /** Whether streams may be taken up that began before this instance watched. */
  private isNew(): boolean {
    const now = this.timer.now();
    return now - (this.knownSince ?? now) < REMEMBERED_MS;
  }

  /** The version of each service that has only one, and had no other lately. */
  private versionsAlone(): Map<string, string> {
    const alone = new Map<string, string>();
    for (const service of this.present.keys()) {
      if (!this.isComplete(service)) continue;
      const [version, ...others] = this.versionsOf(service);
      if (version !== undefined && others.length === 0) {
        alone.set(service, version);
      }
    }
    return alone;
  }
}
