import {BOUNDS} from './deployment.js';
import {mustBeServed} from './expectation.js';
import {Nature, type SentRequest, type SoakHistory} from './history.js';
import {findingOf, type Finding} from './promise.js';

/** Crashes after which a part is to be kept away. */
const CRASHES = 5;
/** The same for a request to a plain service. */
const REQUEST_CRASHES = 3;
/** Requests with the part that may reach upstreams even then. */
const LATE_LIMIT = 3;
/** Time after these crashes from which sound requests begin again, in ms. */
const SOUND_AFTER_MS = 8_000;
/** Sound requests before and after that are needed to judge. */
const FEWEST_SOUND = 20;

/** What was seen of a part that crashes upstreams. */
export interface PartSummary {
  part: string;
  crashes: number;
  /** Requests that reached upstreams though the part was to be held. */
  late: number;
  sound: {before: Share; after: Share};
}

/** How many sound requests began at their first attempt. */
export interface Share {
  begun: number;
  of: number;
}

/** Judges how gateways treat prompts with parts that crash upstreams. */
export class PromptChecker {
  constructor(private readonly history: SoakHistory) {}

  /** Finds requests beyond the limit that a part's crashes were to spare. */
  checkSpared(): Finding[] {
    return this.parts().flatMap(part =>
      this.lateRequests(part)
        .slice(LATE_LIMIT)
        .map(request =>
          findingOf(request, `reached an upstream with the known part ${part}`),
        ),
    );
  }

  /** Finds parts that keep sound requests from beginning; at the end only. */
  checkSound(): Finding[] {
    const sound = this.soundRequests();
    const {calmSince} = this.history;
    const isOver = sound.every(({outcome}) => outcome !== undefined);
    if (calmSince === undefined || !isOver) return [];
    return this.parts().flatMap(part => {
      const [before, after] = this.splitAround(part, sound);
      const [first] = after;
      if (first === undefined || before.length < FEWEST_SOUND) return [];
      if (after.length < FEWEST_SOUND) return [];
      const [was, is] = [this.shareOf(before), this.shareOf(after)];
      if (is.begun / is.of >= was.begun / was.of / 2) return [];
      const message = `${is.begun} of ${is.of} sound requests began after the crashes of ${part}, ${was.begun} of ${was.of} before`;
      return [findingOf(first, message)];
    });
  }

  summarize(): PartSummary[] {
    const sound = this.soundRequests();
    return this.parts().map(part => {
      const [before, after] = this.splitAround(part, sound);
      return {
        part,
        crashes: this.crashesOf(part).length,
        late: this.lateRequests(part).length,
        sound: {before: this.shareOf(before), after: this.shareOf(after)},
      };
    });
  }

  private parts(): string[] {
    return [...new Set(this.history.crashes.map(({part}) => part))];
  }

  private crashesOf(part: string): number[] {
    return this.history.crashes
      .filter(crash => crash.part === part)
      .map(({at}) => at);
  }

  private lateRequests(part: string): SentRequest[] {
    const {history} = this;
    const requests = [...history.requests.values()].filter(
      ({prompt, badRequest}) => (prompt?.badPart ?? badRequest) === part,
    );
    const isPlain = requests.some(({badRequest}) => badRequest !== undefined);
    const limit = isPlain ? REQUEST_CRASHES : CRASHES;
    const knownAt = this.crashesOf(part)[limit - 1];
    if (knownAt === undefined) return [];
    return requests.filter(({id, gateway}) =>
      history
        .arrivalsOf(id)
        .some(
          ({at}) =>
            at > knownAt + BOUNDS.stableWindowMs &&
            this.isUndisturbed(gateway, at),
        ),
    );
  }

  private isUndisturbed(gateway: string, at: number): boolean {
    return this.history
      .disruptionsOf([gateway], at - BOUNDS.stableWindowMs, at)
      .every(({nature}) => nature === Nature.Reload);
  }

  private soundRequests(): SentRequest[] {
    return [...this.history.requests.values()].filter(
      request => request.prompt !== undefined && mustBeServed(request),
    );
  }

  /** Sound requests from before the first crash, and from long after. */
  private splitAround(
    part: string,
    sound: SentRequest[],
  ): [SentRequest[], SentRequest[]] {
    const crashes = this.crashesOf(part).slice(0, CRASHES);
    const [firstAt = 0, lastAt = 0] = [crashes[0], crashes.at(-1)];
    return [
      sound.filter(({sentAt}) => sentAt < firstAt),
      sound.filter(({sentAt}) => sentAt > lastAt + SOUND_AFTER_MS),
    ];
  }

  private shareOf(requests: SentRequest[]): Share {
    const begun = requests.filter(({id, outcome}) => {
      const [first] = this.history.arrivalsOf(id);
      if (first === undefined || outcome?.type !== 'answered') return false;
      return outcome.seal === first.seal && outcome.events.length > 0;
    });
    return {begun: begun.length, of: requests.length};
  }
}
