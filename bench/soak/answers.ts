import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {readBody} from '../../stand-ins/http.js';
import type {Random} from '../random.js';
import {arrivalOf, type EndCause} from './arrival.js';
import {eventDataOf, ServiceName, textOf} from './deployment.js';
import type {Arrival, SoakHistory} from './history.js';
import type {DeclaredLimits} from './limits.js';
import {writeEndlessly} from './endlessanswer.js';
import {OpenAnswer} from './openanswer.js';
import {SLOTS} from './registration.js';
import {BREAKING, Treatment} from './treatment.js';

/** Share of the requests that an upstream in trouble doesn't answer. */
const SPOILED_SHARE = 0.5;
/** Share of these that get a failure of the upstream's own. */
const FAILED_SHARE = 0.3;

const LEAVING_HEADER = 'server-leaving';

const sleep = (ms: number) =>
  new Promise<void>(resolve => setTimeout(resolve, ms));

/** The upstream whose answers are given. */
export interface AnsweringUpstream {
  readonly name: string;
  readonly service: ServiceName;
  readonly treatment: Treatment;
  /** Whether answers say that the upstream leaves. */
  readonly announcesLeaving: boolean;
  /** Number of faults by which it sends bytes without end. */
  readonly endlessAnswers: number;
  /** Id, start and software version of its newest process. */
  readonly id: string;
  readonly born: number;
  readonly softwareVersion: string;
  /** Settled unless the upstream is silent. */
  readonly silence: Promise<void>;
  /** Ends the process by a request, and starts another later. */
  crashBy(part: string, arrival: Arrival): Promise<void>;
}

/** The answers of an upstream. */
export class Answers {
  private running = 0;
  private count = 0;
  private readonly open = new Set<OpenAnswer>();

  constructor(
    private readonly upstream: AnsweringUpstream,
    private readonly history: SoakHistory,
    private readonly random: Random,
    private readonly limits: DeclaredLimits,
    /** Whether every second answer ends with its connection. */
    private readonly omitsLengths: boolean,
  ) {}

  /** Whether an answer is being written. */
  get areBegun(): boolean {
    return [...this.open].some(({isBegun}) => isBegun);
  }

  /** Begins with the answers of a new process. */
  reset(): void {
    this.running = 0;
  }

  /** Notes what ends the answers that some connections carry, or all. */
  noteEnd(endedBy: EndCause, sockets?: ReadonlySet<Socket>): void {
    for (const answer of this.open) {
      const {socket} = answer;
      const isEnded =
        sockets === undefined || (socket !== null && sockets.has(socket));
      if (isEnded) answer.noteEnd(endedBy);
    }
  }

  async serve(
    incarnation: number,
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const {upstream, random} = this;
    const body = (await readBody(message)).toString();
    // The connection ended while the request was read: nothing runs it.
    if (message.socket.writableEnded) return;
    const {headers} = message;
    const request = String(headers['x-request-id'] ?? '');
    response.setHeader('x-instance-id', upstream.id);
    // Probes carry no id.
    if (request === '') {
      await upstream.silence;
      response.end(JSON.stringify({born: upstream.born}));
      return;
    }
    const seal = `${upstream.name}.${incarnation}.${++this.count}`;
    if (this.omitsLengths && this.count % 2 === 0) {
      response.useChunkedEncodingByDefault = false;
    }
    const arrival: Arrival = {
      ...arrivalOf(message, request, body),
      upstream: upstream.name,
      incarnation,
      service: upstream.service,
      at: this.history.now(),
      seal,
    };
    const expected = headers['x-expect-instance'];
    this.limits.declare(arrival, response);
    const isFull = this.running >= SLOTS;
    response.setHeader('x-request-id', request);
    response.setHeader('x-response-seal', seal);
    if (upstream.announcesLeaving) response.setHeader(LEAVING_HEADER, '1');
    if (expected !== undefined && expected !== upstream.id) {
      await this.refuse(arrival, response, 421);
    } else if (isFull || upstream.treatment === Treatment.Refuses) {
      await this.refuse(arrival, response, 503);
    } else {
      this.running++;
      response.once('close', () => {
        this.running = Math.max(0, this.running - 1);
      });
      const answer = this.begin(arrival, response);
      if (upstream.endlessAnswers > 0 && random.next() < SPOILED_SHARE) {
        await this.spoil(answer);
      } else if (upstream.service === ServiceName.Streams) {
        const lastEvent = Number(headers['last-event-id'] ?? 0);
        await this.stream(answer, lastEvent);
      } else {
        await this.answer(answer);
      }
    }
  }

  /** Answers by a failure or by bytes without end, without a crash. */
  private async spoil(answer: OpenAnswer): Promise<void> {
    await this.upstream.silence;
    if (this.random.next() < FAILED_SHARE) {
      answer.response.statusCode = answer.arrival.status = 500;
      answer.end();
    } else {
      await writeEndlessly(answer, this.random);
    }
  }

  /** Records a request that gets an answer now. */
  private begin(arrival: Arrival, response: ServerResponse): OpenAnswer {
    this.history.addArrival(arrival);
    const answer = new OpenAnswer(arrival, response, () => this.history.now());
    this.open.add(answer);
    response.once('close', () => this.open.delete(answer));
    return answer;
  }

  private async refuse(
    arrival: Arrival,
    response: ServerResponse,
    status: number,
  ): Promise<void> {
    const refusal = {...arrival, ran: false, status};
    const answer = this.begin(refusal, response);
    response.setHeader('x-not-executed', '1');
    if (status === 503) response.setHeader('retry-after', '0.3');
    response.statusCode = status;
    await this.upstream.silence;
    answer.end();
  }

  /** Sends a part of an answer, and notes that its head announced a leave. */
  private async write(
    answer: OpenAnswer,
    text: string,
    isEvent = false,
  ): Promise<void> {
    await this.upstream.silence;
    answer.write(text, isEvent);
    const {arrival, response} = answer;
    if (response.hasHeader(LEAVING_HEADER)) this.noteAnnouncement(arrival);
  }

  private noteAnnouncement({request, incarnation}: Arrival): void {
    const gateway = this.history.requests.get(request)?.gateway;
    if (gateway === undefined) return;
    const {name: upstream} = this.upstream;
    const [at, how] = [this.history.now(), 'announced'];
    this.history.addLeave({upstream, incarnation, how, at, gateway});
  }

  private async answer(answer: OpenAnswer): Promise<void> {
    const {random, upstream} = this;
    const {arrival, response} = answer;
    const {treatment} = upstream;
    const {badRequest} = this.history.requests.get(arrival.request) ?? {};
    if (badRequest !== undefined && !BREAKING.has(treatment)) {
      await this.crashBy(badRequest, answer);
      return;
    }
    const size = Math.floor(random.next() ** 4 * 60_000) + 40;
    const body = textOf(arrival.seal, size);
    arrival.size = size;
    const isLong = treatment === Treatment.Slow || random.next() < 0.05;
    await sleep(isLong ? random.between(300, 1_500) : random.between(2, 120));
    if (response.destroyed || treatment === Treatment.Silent) return;
    if (treatment === Treatment.Loses) {
      answer.reset();
      return;
    }
    if (treatment === Treatment.Fails) {
      response.statusCode = arrival.status = 500;
    }
    // Without a length, the body is sent in chunks, or ends with its connection.
    if (random.next() < 0.7 && response.useChunkedEncodingByDefault) {
      response.setHeader('content-length', size);
    }
    const cut = Math.floor(random.between(0, size));
    await this.write(answer, body.slice(0, cut));
    await sleep(random.between(0, 20));
    await upstream.silence;
    if (treatment === Treatment.Cuts) answer.reset();
    else answer.end(body.slice(cut));
  }

  /** Ends the process that has begun an answer. */
  private async crashBy(part: string, answer: OpenAnswer): Promise<void> {
    await this.upstream.silence;
    // A plain service ends before the head of its answer.
    if (this.upstream.service === ServiceName.Streams) answer.writeHead();
    answer.arrival.brokeOff = true;
    await this.upstream.crashBy(part, answer.arrival);
  }

  private async stream(answer: OpenAnswer, lastEvent: number): Promise<void> {
    const {random, upstream} = this;
    const {arrival, response} = answer;
    const {treatment, softwareVersion} = upstream;
    const events = Number(arrival.path.split('/').at(-1));
    if (treatment === Treatment.Fails) {
      response.statusCode = arrival.status = 500;
      await upstream.silence;
      answer.end();
      return;
    }
    response.setHeader('content-type', 'text/event-stream');
    const badPart = this.history.requests.get(arrival.request)?.prompt?.badPart;
    if (badPart !== undefined && !BREAKING.has(treatment)) {
      await this.crashBy(badPart, answer);
      return;
    }
    const cutAt = Math.floor(random.between(lastEvent + 1, events + 1));
    for (let event = lastEvent + 1; event <= events; event++) {
      await sleep(random.between(5, treatment === Treatment.Slow ? 250 : 60));
      if (response.destroyed || treatment === Treatment.Silent) return;
      if (treatment === Treatment.Loses) {
        answer.reset();
        return;
      }
      const text = `id: ${event}\ndata: ${eventDataOf(arrival.request, event, softwareVersion)}\n\n`;
      if (treatment === Treatment.Cuts && event === cutAt) {
        answer.write(text.slice(0, Math.floor(random.between(0, text.length))));
        await sleep(random.between(0, 20));
        answer.reset();
        return;
      }
      await this.write(answer, text, true);
    }
    await upstream.silence;
    answer.end();
  }
}
