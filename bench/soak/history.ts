import type {Ending, Framing} from './arrival.js';
import type {Configuration, RequestKind, ServiceName} from './deployment.js';
import type {Prompt} from './prompts.js';

/** An event of a stream, as a caller received it. */
export interface ReceivedEvent {
  id: number;
  data: string;
}

/** How a request ended for its caller. */
export type Outcome =
  | {
      type: 'answered';
      endedAt: number;
      status: number;
      seal?: string;
      echoedId?: string;
      body: string;
      events: ReceivedEvent[];
      /** Whether the answer ended as HTTP says it does. */
      complete: boolean;
    }
  /** The connection ended before the head of an answer. */
  | {type: 'failed'; endedAt: number; reason: string}
  | {type: 'left'; endedAt: number};

/** A request as its caller sent it. All times are monotonic, in ms. */
export interface SentRequest {
  id: string;
  kind: RequestKind;
  gateway: string;
  /** Number of the gateway's process to which it was sent. */
  incarnation: number;
  path: string;
  body: string;
  key?: string;
  /** Number of events of the whole stream; 0 if it isn't one. */
  events: number;
  lastEvent: number;
  /** Id of the request that brought the stream's first event, if another did. */
  resumes?: string;
  /** When its caller cuts the connection to take the stream up again, in ms. */
  cutAfterMs?: number;
  prompt?: Prompt;
  /** Name of the request, if it crashes each plain upstream that runs it. */
  badRequest?: string;
  sentAt: number;
  outcome?: Outcome;
}

/** A request as it reached an upstream. */
export interface Arrival {
  request: string;
  upstream: string;
  /** Number of the upstream's process. */
  incarnation: number;
  service: ServiceName;
  at: number;
  /** Whether the upstream began to work on it. */
  ran: boolean;
  method: string;
  path: string;
  body: string;
  tenant?: string;
  authorization?: string;
  seal: string;
  status: number;
  /** Size of the whole body of the answer; undefined for streams. */
  size?: number;
  /** Whether bytes that are no answer came for one, without end. */
  isEndless?: boolean;
  /** How the answer marks its end; undefined before its head. */
  framing?: Framing;
  /** Whether the answer ended before it was whole. */
  brokeOff: boolean;
  /** How the answer ended; undefined before. */
  ending?: Ending;
}

/** A version that the store acknowledged. */
export interface AcceptedConfiguration extends Configuration {
  acceptedAt: number;
}

/** From when on an upstream's process is to get no more requests. */
export interface Leave {
  upstream: string;
  incarnation: number;
  at: number;
  how: string;
  /** The gateway to which a response said so; absent if the store says so. */
  gateway?: string;
}

/** A process of an upstream, from its start to its end. */
export interface UpstreamLife {
  upstream: string;
  incarnation: number;
  service: ServiceName;
  softwareVersion: string;
  from: number;
  to: number;
}

/** An upstream's crash when it began to answer a prompt with a bad part. */
export interface PromptCrash {
  part: string;
  request: string;
  upstream: string;
  at: number;
}

/** The end of a gateway's process that the soak didn't cause. */
export interface OwnEnd {
  gateway: string;
  incarnation: number;
  at: number;
  /** Exit status, or name of the signal. */
  status: string;
  /** Whether the process had written a line of its log. */
  hasLogged: boolean;
}

/** What a disruption excuses. */
export enum Nature {
  /** Excuses bounds, but no loss of requests. */
  PlannedStop = 'plannedStop',
  /** Changed settings: excuses nothing. */
  Reload = 'reload',
  Fault = 'fault',
  /** A fault of the link to an upstream, which delays what was sent to it. */
  LinkFault = 'linkFault',
  /** A sound upstream sends nothing for a while: excuses nothing. */
  Silence = 'silence',
}

export function isFault(nature: Nature): boolean {
  return nature === Nature.Fault || nature === Nature.LinkFault;
}

/** What disturbed a part of the deployment, and when. */
export interface Disruption {
  /** Name of a gateway or upstream, or [[STORE]]. */
  target: string;
  what: string;
  nature: Nature;
  from: number;
  to: number;
}

/** Target of disruptions of the store as a whole. */
export const STORE = 'store';

/** Everything that callers, upstreams and the store saw. */
export class SoakHistory {
  readonly requests = new Map<string, SentRequest>();
  readonly arrivals: Arrival[] = [];
  readonly configurations: AcceptedConfiguration[] = [];
  readonly leaves: Leave[] = [];
  readonly lives: UpstreamLife[] = [];
  readonly disruptions: Disruption[] = [];
  readonly crashes: PromptCrash[] = [];
  readonly ownEnds: OwnEnd[] = [];
  /** When the last fault ended; undefined before. */
  calmSince?: number;
  private readonly byRequest = new Map<string, Arrival[]>();

  now(): number {
    return performance.now();
  }

  addArrival(arrival: Arrival): void {
    this.arrivals.push(arrival);
    const others = this.byRequest.get(arrival.request) ?? [];
    this.byRequest.set(arrival.request, [...others, arrival]);
  }

  /** Records the start of an upstream's process. */
  beginLife({
    name: upstream,
    incarnation,
    service,
    softwareVersion,
  }: Omit<UpstreamLife, 'upstream' | 'from' | 'to'> & {name: string}): void {
    const [from, to] = [this.now(), Infinity];
    const process = {upstream, incarnation, service, softwareVersion};
    this.lives.push({...process, from, to});
  }

  /** Records the end of an upstream's process, if one runs. */
  endLife(upstream: string): void {
    const life = this.lives.findLast(one => one.upstream === upstream);
    if (life !== undefined) life.to = Math.min(life.to, this.now());
  }

  /** Adds what is said first of a process, to a gateway or by the store. */
  addLeave(leave: Leave): void {
    const isKnown = this.leaves.some(
      ({upstream, incarnation, gateway}) =>
        upstream === leave.upstream &&
        incarnation === leave.incarnation &&
        gateway === leave.gateway,
    );
    if (!isKnown) this.leaves.push(leave);
  }

  arrivalsOf(request: string): readonly Arrival[] {
    return this.byRequest.get(request) ?? [];
  }

  /** Records the start of a disruption, and returns how to record its end. */
  disrupt(target: string, what: string, nature = Nature.Fault): () => void {
    const from = this.now();
    const disruption = {target, what, nature, from, to: Infinity};
    this.disruptions.push(disruption);
    return () => {
      disruption.to = Math.min(disruption.to, this.now());
    };
  }

  /** Disruptions of any of the targets between two times. */
  disruptionsOf(targets: string[], from: number, to: number): Disruption[] {
    return this.disruptions.filter(
      one => targets.includes(one.target) && one.from <= to && one.to >= from,
    );
  }
}
