import type {SentRequest} from './history.js';

/** What is promised to callers, upstreams and operators. */
export enum Promised {
  /** What may run only once runs only once. */
  Once = 'once',
  /** 408, 421, 429 and 503 mean that the request never runs. */
  NotRun = 'not_run',
  /** A success is the whole answer of an upstream to this request. */
  Whole = 'whole',
  /** Events of a stream come in order, and none twice. */
  Order = 'order',
  /** A stream is written by one software version, over a caller's tries, too. */
  SoftwareVersion = 'software_version',
  /** Upstreams get requests as their callers sent them. */
  Unchanged = 'unchanged',
  /** Nothing runs without a key that was valid; the workspace is its own. */
  Keys = 'keys',
  /** A proper request isn't denied. */
  Denied = 'denied',
  /** An upstream that leaves gets nothing later than the bound. */
  Leaving = 'leaving',
  /** A configuration is in force in time, and versions never go back. */
  Versions = 'versions',
  /** What a running upstream works on is answered, also at a planned stop. */
  Answered = 'answered',
  /** Everything is served again after the last fault. */
  Served = 'served',
  /** After five crashes, a prompt part is kept away from upstreams. */
  Spared = 'spared',
  /** An upstream gets no more than the rate that it declares. */
  Limited = 'limited',
  /** No process of a gateway ends by itself. */
  Running = 'running',
  /** Prompts that share other parts with a bad one are served again. */
  SoundPrompts = 'sound_prompts',
}

/** A broken promise. */
export interface Violation {
  promise: Promised;
  /** Id of the request. */
  request: string;
  message: string;
  at: number;
  /**
   * Whether the bound was kept but for the time in which the soak's own process
   * stood still. Such a finding is named and doesn't fail the run.
   */
  touchedByStall: boolean;
}

export type Finding = Omit<Violation, 'promise'>;

export function findingOf(request: SentRequest, message: string): Finding {
  const {id, sentAt} = request;
  return {request: id, message, at: sentAt, touchedByStall: false};
}

/** Describes what is wrong with a request, if something is. */
export type Description = (request: SentRequest) => string | undefined;

/** A finding for each request that is described. */
export function findingsOf(
  requests: SentRequest[],
  describe: Description,
): Finding[] {
  return requests.flatMap(request => {
    const message = describe(request);
    return message === undefined ? [] : [findingOf(request, message)];
  });
}
