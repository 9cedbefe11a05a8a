import {streamKey, type OriginLookup} from '../origin/index.js';
import {Repetition, type Route, type RoutingTable} from '../route/index.js';
import {LogEvent} from '../telemetry/logevent.js';
import type {ForwardDependencies} from './dependencies.js';
import type {RequestHead} from './protocol.js';

/**
 * Time after its caller's deadline for which a stream can still be taken up,
 * in ms, as clocks and retries differ.
 */
const GRACE_MS = 10_000;

/** The stream of a request, which it begins or which its caller takes up. */
export class ResumableStream {
  /** Absent if the caller didn't name the request that began the stream. */
  private readonly key?: string;
  private lookup?: OriginLookup;

  private constructor(
    private readonly dependencies: ForwardDependencies,
    private readonly request: RequestHead,
    private readonly route: Route,
    /** Until when its caller may take it up, in monotonic ms. */
    private readonly expiresAt: number,
  ) {
    const {id, key, lastEvent, resumedRequest} = request;
    const first = lastEvent === undefined ? id : resumedRequest;
    if (first !== undefined && first !== '') {
      this.key = streamKey(key, first);
    }
  }

  /**
   * The stream of a request; undefined if it can't be taken up. `deadlineAt`: when
   * the caller gives up, in monotonic ms.
   */
  static of(
    dependencies: ForwardDependencies,
    request: RequestHead,
    route: Route,
    deadlineAt: number,
  ): ResumableStream | undefined {
    if (route.repetition !== Repetition.Resumable) return undefined;
    return new ResumableStream(
      dependencies,
      request,
      route,
      deadlineAt + GRACE_MS,
    );
  }

  /**
   * Finds where the stream began if the caller takes it up. Returns false if
   * that matters and isn't known.
   */
  async findOrigin(): Promise<boolean> {
    const {lastEvent, resumedRequest, id} = this.request;
    if (lastEvent === undefined) return true;
    const {origins, timer, logger} = this.dependencies;
    const askedAt = timer.now();
    const services = this.route.splits.map(({service}) => service);
    const {lookup, basis} = await origins.find(this.key ?? '', services);
    this.lookup = lookup;
    logger.info(
      {
        event: LogEvent.Resumed,
        request: id,
        resumes: resumedRequest,
        lastEvent,
        origin: lookup.type,
        ...detailsOf(lookup),
        ...basis,
        lookupMs: Math.round(timer.now() - askedAt),
      },
      'The caller takes up a stream.',
    );
    return lookup.type !== 'unknown';
  }

  /** The service that began the stream, if the route still leads there. */
  get service(): string | undefined {
    if (this.lookup?.type !== 'known') return undefined;
    const {service} = this.lookup.origin;
    const {splits} = this.route;
    return splits.some(split => split.service === service)
      ? service
      : undefined;
  }

  /**
   * Software version that an upstream of a service must have to go on with the
   * stream; any if undefined.
   */
  versionAt(service: string): string | undefined {
    if (this.lookup?.type !== 'known') return undefined;
    const {origin} = this.lookup;
    return origin.service === service ? origin.softwareVersion : undefined;
  }

  /** Remembers which software version of a service writes the stream. */
  noteOrigin(service: string, softwareVersion: string): void {
    const {key, expiresAt} = this;
    if (key === undefined) return;
    const origin = {service, softwareVersion};
    this.dependencies.origins.note({key, origin, expiresAt});
  }
}

/** Log fields that tell where a stream began, or why that isn't known. */
function detailsOf(lookup: OriginLookup): object {
  switch (lookup.type) {
    case 'known':
      return lookup.origin;
    case 'any':
      return {};
    case 'unknown':
      return {reason: lookup.reason};
  }
}

/** The service of a request: that of its stream, or one by weight. */
export function serviceOf(
  stream: ResumableStream | undefined,
  route: Route,
  table: RoutingTable,
  random: () => number,
): string {
  return stream?.service ?? table.pick(route, random());
}
