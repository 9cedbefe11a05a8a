import {RawUpstream, successHead, type RawRequest} from './gateway.js';

/** Answers a request; `upstream` is the one that got it. */
export type Answer = (
  request: RawRequest,
  upstream: SilentUpstream,
) => Promise<void>;

export const sleep = (ms: number) =>
  new Promise<void>(resolve => setTimeout(resolve, ms));

/** An upstream that can stop sending on all its connections for a while. */
export class SilentUpstream {
  readonly raw: RawUpstream;
  private silence = Promise.resolve();

  constructor(answer: Answer) {
    this.raw = new RawUpstream(request => {
      // Probes carry no id.
      const isProbe = request.id === '';
      void (isProbe ? this.answerProbe(request) : answer(request, this));
    });
  }

  /** Sends nothing for a time, and then what was held back. */
  fallSilent(ms: number): void {
    this.silence = sleep(ms);
  }

  /** Neither reads nor sends anything for a time, and then goes on. */
  standStill(ms: number): void {
    this.fallSilent(ms);
    this.raw.setReading(false);
    void this.silence.then(() => this.raw.setReading(true));
  }

  /** Sends bytes once the upstream isn't silent. */
  async send({socket}: RawRequest, bytes: string): Promise<void> {
    await this.silence;
    socket.write(bytes, 'latin1');
  }

  private answerProbe(request: RawRequest): Promise<void> {
    return this.send(request, 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n');
  }
}

/** Upstreams of one service and what they received. */
export interface UpstreamGroup {
  members: SilentUpstream[];
  entries: Array<{service: string; id: string; port: number}>;
  /** Requests with an id, in the order of arrival. */
  arrivals(id: string): RawRequest[];
  close(): void;
}

/**
 * Starts upstreams that answer the first arrival of a request by the first of
 * `answers`, and so on; the last one goes for all later arrivals.
 */
export async function openGroup(
  service: string,
  count: number,
  ...answers: Answer[]
): Promise<UpstreamGroup> {
  const received: RawRequest[] = [];
  const arrivals = (id: string) => received.filter(one => one.id === id);
  const members = Array.from(
    {length: count},
    () =>
      new SilentUpstream((request, upstream) => {
        received.push(request);
        const turn = arrivals(request.id).length - 1;
        const answer = answers[Math.min(turn, answers.length - 1)];
        return answer?.(request, upstream) ?? Promise.resolve();
      }),
  );
  const entries: UpstreamGroup['entries'] = [];
  for (const [index, {raw}] of members.entries()) {
    const id = `${service}-${index}`;
    entries.push({service, id, port: await raw.listen()});
  }
  const close = () => members.forEach(({raw}) => raw.close());
  return {members, entries, arrivals, close};
}

/** The events from one number to another, as they are sent. */
export function eventsOf(from: number, to: number, hasIds = true): string {
  return Array.from({length: to - from + 1}, (_, index) => {
    const id = hasIds ? `id: ${from + index}\n` : '';
    return `${id}data: ${from + index}\n\n`;
  }).join('');
}

/** Header lines of a stream of events that is sent in chunks. */
export const EVENT_STREAM =
  'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n';

/** Streams events after the last one that the request names. */
export function streamOf(options: {
  events: number;
  /** Time before each event, in ms. */
  periodMs?: number;
  hasIds?: boolean;
  /** Called after an event was sent; false ends the answer there. */
  afterEvent?: (
    event: number,
    request: RawRequest,
    upstream: SilentUpstream,
  ) => boolean | void;
}): Answer {
  const {events, periodMs = 20, hasIds = true, afterEvent} = options;
  return async (request, upstream) => {
    const last = /last-event-id: (\d+)/i.exec(request.text)?.[1] ?? '0';
    await upstream.send(request, successHead(request.id, EVENT_STREAM));
    for (let event = Number(last) + 1; event <= events; event++) {
      await sleep(periodMs);
      const text = eventsOf(event, event, hasIds);
      const length = text.length.toString(16);
      await upstream.send(request, `${length}\r\n${text}\r\n`);
      if (afterEvent?.(event, request, upstream) === false) return;
    }
    await upstream.send(request, '0\r\n\r\n');
  };
}

/** Answers with a body of a known length. */
export function plainAnswer(body: string): Answer {
  return (request, upstream) => {
    const head = successHead(request.id, `Content-Length: ${body.length}\r\n`);
    return upstream.send(request, head + body);
  };
}

/** Refuses a request without running it. */
export const refuse: Answer = (request, upstream) =>
  upstream.send(
    request,
    'HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n',
  );

/** Resets the connection without an answer. */
export const reset: Answer = ({socket}) => {
  socket.resetAndDestroy();
  return Promise.resolve();
};
