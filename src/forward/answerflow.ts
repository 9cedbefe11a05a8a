import type {Dispatcher} from 'undici';
import type {Timer} from '../timer/index.js';
import type {AnswerMeter} from './answerlimit.js';
import {type AnswerFault, type Answers, faultOf} from './answers.js';
import type {Connection} from './connections.js';
import type {Endpoint} from './endpoint.js';

/** Inputs of [[AnswerFlow]]. */
export interface AnswerFlowSpec {
  answers: Answers;
  timer: Pick<Timer, 'now'>;
  endpoint: Endpoint;
  connection: Connection;
  /** The caller's request; absent if this instance asked. */
  request?: string;
  /** Breaks the answer off, since it has cost too much for too long. */
  breakOff(): void;
}

/**
 * The reading of one answer, which stops while its caller does not read, or while
 * it has to wait for other answers.
 */
export class AnswerFlow {
  private readonly meter: AnswerMeter;
  private waitsForCaller = false;
  private waitsForOthers = false;
  private ended = false;
  /** Chunks that were already told of. */
  private notedChunks = 0;

  constructor(private readonly spec: AnswerFlowSpec) {
    this.meter = spec.answers.open({
      resume: () => {
        this.noteHeard();
        this.waitsForOthers = false;
        this.goOn();
      },
      // It isn't the upstream that is silent.
      waits: () => this.noteHeard(),
      breakOff: () => spec.breakOff(),
    });
  }

  /** Counts a chunk as it is read. */
  addChunk(controller: Dispatcher.DispatchController, bytes: number): void {
    if (!this.meter.addChunk(bytes)) this.waitForOthers(controller);
  }

  /** Counts events and lines that were found in what was read. */
  addEvents(
    controller: Dispatcher.DispatchController,
    events: number,
    lines: number,
  ): void {
    if (!this.meter.addEvents(events, lines)) this.waitForOthers(controller);
  }

  /** Counts what was read at once. */
  noteRead(bytes: number): void {
    const {answers, endpoint} = this.spec;
    const {chunks} = this.meter;
    answers.noteRead(endpoint.id, chunks - this.notedChunks, bytes);
    this.notedChunks = chunks;
  }

  /** Stops until [[callerReads]]. */
  waitForCaller(controller: Dispatcher.DispatchController): void {
    this.waitsForCaller = true;
    this.spec.connection.pause(controller);
  }

  callerReads(): void {
    this.waitsForCaller = false;
    this.goOn();
  }

  /** Tells of an answer that is broken off here. */
  recordFault(fault: AnswerFault): void {
    const {answers, endpoint, request} = this.spec;
    const upstream = endpoint.id;
    const source = request === undefined ? {upstream} : {upstream, request};
    answers.recordFault(fault, source, this.meter);
  }

  /** Tells of an answer that the HTTP client broke off. */
  recordError(error: Error): void {
    const fault = faultOf(error);
    if (fault !== undefined && !this.ended) this.recordFault(fault);
  }

  end(): void {
    this.ended = true;
    this.meter.end();
  }

  private waitForOthers(controller: Dispatcher.DispatchController): void {
    this.waitsForOthers = true;
    this.spec.connection.pause(controller);
  }

  private goOn(): void {
    if (this.ended || this.waitsForCaller || this.waitsForOthers) return;
    this.spec.connection.resume();
  }

  private noteHeard(): void {
    const {endpoint, connection, timer} = this.spec;
    endpoint.noteHeard(connection.path, timer.now());
  }
}
