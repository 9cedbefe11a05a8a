import {
  BOUNDS,
  RequestKind,
  ServiceName,
  softwareVersionIn,
} from './deployment.js';
import {isFault, type SentRequest, type SoakHistory} from './history.js';
import {findingOf, type Finding} from './promise.js';

/** Streams that must be taken up for their share to be judged. */
const MIN_TAKEN_UP = 12;
/** Share of that of new streams that begin. */
const MIN_SHARE = 0.5;
/** Upstreams of a version that must serve for it to be judged. */
const MIN_UPSTREAMS = 2;
const MOST_VERSIONS = 3;

/** What was seen of streams and the software versions that wrote them. */
export interface VersionSummary {
  /** Streams with events of several versions. */
  mixed: number;
  /** Streams that callers took up at undisturbed gateways. */
  takenUp: number;
  wentOn: number;
  /** New streams at undisturbed gateways, and those that began. */
  sent: number;
  begun: number;
}

/** Names of the software versions of a run. */
export function softwareVersionsOf({
  seed,
  softwareVersions = 1 + (seed % MOST_VERSIONS),
}: {
  seed: number;
  softwareVersions?: number;
}): string[] {
  return Array.from({length: softwareVersions}, (_, n) => `v${n + 1}`);
}

/** The items, from the one at `start` on and around. */
export function rotate<Item>(items: readonly Item[], start: number): Item[] {
  const from = start % items.length;
  return [...items.slice(from), ...items.slice(0, from)];
}

/** Judges which software versions wrote the streams that callers got. */
export class VersionChecker {
  constructor(private readonly history: SoakHistory) {}

  check(): Finding[] {
    const findings = this.mixed();
    const {takenUp, wentOn, sent, begun} = this.summarize();
    const share = wentOn / takenUp;
    if (takenUp < MIN_TAKEN_UP || share >= (MIN_SHARE * begun) / sent) {
      return findings;
    }
    const [first] = this.takenUp();
    if (first === undefined) return findings;
    const message = `${wentOn} of ${takenUp} streams went on, ${begun} of ${sent} began`;
    return [...findings, findingOf(first, message)];
  }

  summarize(): VersionSummary {
    const takenUp = this.takenUp();
    const fresh = this.streams().filter(
      request => request.resumes === undefined && this.isJudged(request),
    );
    return {
      mixed: this.mixed().length,
      takenUp: takenUp.length,
      wentOn: takenUp.filter(hasEvents).length,
      sent: fresh.length,
      begun: fresh.filter(hasEvents).length,
    };
  }

  private mixed(): Finding[] {
    const versions = new Map<string, Set<string>>();
    return this.streams().flatMap(request => {
      const {id, resumes = id, outcome} = request;
      if (outcome?.type !== 'answered') return [];
      const known = versions.get(resumes) ?? new Set();
      versions.set(resumes, known);
      const before = known.size;
      for (const {data} of outcome.events) known.add(softwareVersionIn(data));
      if (known.size <= Math.max(1, before)) return [];
      const message = `events of ${[...known].join(' and ')}`;
      return [findingOf(request, message)];
    });
  }

  private takenUp(): SentRequest[] {
    return this.streams().filter(
      request =>
        request.resumes !== undefined &&
        this.isJudged(request) &&
        this.canGoOn(request),
    );
  }

  /** Whether two sound upstreams of its software version served meanwhile. */
  private canGoOn({resumes = '', sentAt, outcome}: SentRequest): boolean {
    const version = this.versionOf(resumes);
    const to = outcome?.endedAt ?? sentAt;
    const {lives, leaves} = this.history;
    const serving = lives.filter(
      ({upstream, incarnation, softwareVersion, service, ...life}) =>
        service === ServiceName.Streams &&
        softwareVersion === version &&
        life.from + BOUNDS.stableWindowMs < sentAt &&
        life.to > to &&
        !leaves.some(
          leave =>
            leave.upstream === upstream &&
            leave.incarnation === incarnation &&
            leave.at < to,
        ) &&
        this.isCalm(upstream, sentAt, to),
    );
    return serving.length >= MIN_UPSTREAMS;
  }

  /** Software version that wrote the first event of a request's stream. */
  private versionOf(request: string): string | undefined {
    const {outcome} = this.history.requests.get(request) ?? {};
    if (outcome?.type !== 'answered') return undefined;
    const [first] = outcome.events;
    return first === undefined ? undefined : softwareVersionIn(first.data);
  }

  private streams(): SentRequest[] {
    return [...this.history.requests.values()].filter(
      ({kind}) => kind === RequestKind.Resumable,
    );
  }

  /** Whether a request ended at a gateway that no fault disturbed. */
  private isJudged({gateway, sentAt, outcome}: SentRequest): boolean {
    if (outcome === undefined || outcome.type === 'left') return false;
    return this.isCalm(gateway, sentAt, outcome.endedAt);
  }

  private isCalm(target: string, from: number, to: number): boolean {
    return this.history
      .disruptionsOf([target], from - BOUNDS.stableWindowMs, to)
      .every(({nature}) => !isFault(nature));
  }
}

function hasEvents({outcome}: SentRequest): boolean {
  return outcome?.type === 'answered' && outcome.events.length > 0;
}
