import type {IncomingMessage, ServerResponse} from 'node:http';
import findMyWay from 'find-my-way';
import {bodyOf, jsonOf, sendJson, serveRoutes, type StandIn} from './http.js';
import {outputTokens, type GenerationBody} from './text.js';

/** How a stand-in engine behaves. */
export interface EngineBehaviour {
  /** Sequences decoded at once. */
  slots: number;
  /** Duration of a decoding step in ms. */
  stepMs: number;
  /** Factor on the duration of every step; above 1 it is a straggler. */
  slowness: number;
  /** Whether it announces that it is leaving. */
  leaving: boolean;
}

const DEFAULTS: EngineBehaviour = {
  slots: 16,
  stepMs: 2,
  slowness: 1,
  leaving: false,
};

/** One execution, as the engine's journal keeps it. */
export interface EngineExecution {
  id: string;
  priority: number;
  tokens: number;
  startedAt: number;
  endedAt?: number;
  cancelled: boolean;
}

/** A request waiting for a slot or decoding in one. */
interface Sequence {
  execution: EngineExecution;
  tokens: string[];
  emit(token: string, index: number): void;
  finish(): void;
}

/** Decodes sequences in steps, highest priority first into free slots. */
class Batch {
  readonly journal: EngineExecution[] = [];
  private waiting: Sequence[] = [];
  private running: Sequence[] = [];
  private timer?: NodeJS.Timeout;

  constructor(private readonly behaviour: EngineBehaviour) {}

  add(sequence: Sequence): void {
    this.waiting.push(sequence);
    this.waiting.sort((a, b) => a.execution.priority - b.execution.priority);
    this.schedule();
  }

  cancel(sequence: Sequence): void {
    sequence.execution.cancelled = true;
    this.waiting = this.waiting.filter(other => other !== sequence);
    this.running = this.running.filter(other => other !== sequence);
  }

  load() {
    return {
      running: this.running.length,
      waiting: this.waiting.length,
      memory: this.running.length / this.behaviour.slots,
      leaving: this.behaviour.leaving,
    };
  }

  private schedule(): void {
    const {stepMs, slowness} = this.behaviour;
    this.timer ??= setTimeout(() => this.step(), stepMs * slowness);
  }

  private step(): void {
    delete this.timer;
    while (this.running.length < this.behaviour.slots) {
      const next = this.waiting.shift();
      if (next === undefined) break;
      next.execution.startedAt = Date.now();
      this.journal.push(next.execution);
      this.running.push(next);
    }
    for (const sequence of [...this.running]) this.decode(sequence);
    if (this.running.length + this.waiting.length > 0) this.schedule();
  }

  private decode(sequence: Sequence): void {
    const index = sequence.execution.tokens++;
    sequence.emit(sequence.tokens[index] ?? '', index);
    if (sequence.execution.tokens < sequence.tokens.length) return;
    this.running = this.running.filter(other => other !== sequence);
    sequence.execution.endedAt = Date.now();
    sequence.finish();
  }
}

/** The running stand-in engine. */
export interface EngineStandIn extends StandIn {
  behaviour: EngineBehaviour;
  journal: EngineExecution[];
}

/**
 * Starts a stand-in model engine with an OpenAI-compatible API.
 * `GET /load` reports load, `GET /journal` what was run, and
 * `PUT /behaviour` changes [[EngineBehaviour]].
 */
export async function startEngine(
  port = 0,
  initial: Partial<EngineBehaviour> = {},
): Promise<EngineStandIn> {
  const behaviour = {...DEFAULTS, ...initial};
  const batch = new Batch(behaviour);
  const routes = findMyWay();
  for (const path of ['/v1/chat/completions', '/v1/completions'] as const) {
    routes.on('POST', path, (message, response) =>
      generate(batch, message, response),
    );
  }
  routes.on('GET', '/load', (_message, response) => {
    sendJson(response, 200, batch.load());
  });
  routes.on('GET', '/journal', (_message, response) => {
    sendJson(response, 200, batch.journal);
  });
  routes.on('PUT', '/behaviour', async (message, response) => {
    Object.assign(behaviour, await jsonOf(message));
    sendJson(response, 200, behaviour);
  });
  const standIn = await serveRoutes(routes, port);
  return {...standIn, behaviour, journal: batch.journal};
}

async function generate(
  batch: Batch,
  message: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const raw = await bodyOf(message);
  const body = JSON.parse(raw.toString('utf8')) as GenerationBody & {
    stream?: boolean;
  };
  const id = String(message.headers['x-request-id'] ?? '');
  const sequence: Sequence = {
    execution: {
      id,
      priority: Number(message.headers['x-priority'] ?? 0),
      tokens: 0,
      startedAt: 0,
      cancelled: false,
    },
    tokens: outputTokens(body),
    ...(body.stream === true
      ? streamed(response, id, body)
      : collected(response, id, body)),
  };
  response.once('close', () => {
    if (sequence.execution.endedAt === undefined) batch.cancel(sequence);
  });
  batch.add(sequence);
}

function streamed(response: ServerResponse, id: string, body: GenerationBody) {
  let count = 0;
  const open = () => {
    if (response.headersSent) return;
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'x-request-id': id,
    });
  };
  return {
    emit: (token: string, index: number) => {
      open();
      count++;
      const chunk = {
        id,
        object: 'chat.completion.chunk',
        model: body.model,
        choices: [{index: 0, delta: {content: token}, finish_reason: null}],
      };
      response.write(`id: ${index}\ndata: ${JSON.stringify(chunk)}\n\n`);
    },
    finish: () => {
      const chunk = {
        id,
        object: 'chat.completion.chunk',
        model: body.model,
        choices: [{index: 0, delta: {}, finish_reason: 'stop'}],
        usage: {completion_tokens: count},
      };
      response.end(`data: ${JSON.stringify(chunk)}\n\ndata: [DONE]\n\n`);
    },
  };
}

function collected(response: ServerResponse, id: string, body: GenerationBody) {
  const tokens: string[] = [];
  return {
    emit: (token: string) => {
      tokens.push(token);
    },
    finish: () => {
      const content = tokens.join('');
      sendJson(
        response,
        200,
        {
          id,
          object: 'chat.completion',
          model: body.model,
          choices: [
            {
              index: 0,
              message: {role: 'assistant', content},
              text: content,
              finish_reason: 'stop',
            },
          ],
          usage: {completion_tokens: tokens.length},
        },
        {'x-request-id': id},
      );
    },
  };
}
