import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  TOKENS_PER_BLOCK,
  prefixBlocks,
  promptText,
  countPromptTokens,
  type PromptBody,
} from '../src/upstream/index.js';
import type {Batch} from './batch.js';
import {RefusalMode, type EngineBehaviour} from './enginebehaviour.js';
import {readBody, sendJson} from './http.js';
import type {Models} from './models.js';
import {Sequence, type SequenceSink} from './sequence.js';
import {usageOf, type ResumableStreams} from './streams.js';
import {outputTokens, type GenerationBody} from './output.js';

/** Marks a request as not run, so that the caller may retry it. */
const NOT_RUN = {'x-not-run': 'true'};
const RETRY_AFTER = {'retry-after': '1'};

/** Body of an OpenAI-compatible completion request. */
type GenerationRequest = GenerationBody & PromptBody & {stream?: boolean};

/** Handles generation requests: refuses them or adds them to the batch. */
export class GenerationHandler {
  /** Requests refused as not run. */
  refused = 0;

  constructor(
    private readonly behaviour: EngineBehaviour,
    private readonly batch: Batch,
    private readonly streams: ResumableStreams,
    private readonly models: Models,
  ) {}

  /** Answers a request, with a stream if it asks for one. */
  async serve(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await parseRequest(message);
    if (body === undefined) {
      this.refused++;
      return sendJson(response, 400, {error: 'badRequest'}, NOT_RUN);
    }
    this.models.countRequest(body.model);
    if (this.refuseIfNeeded(body, response)) return;
    const sequence = createSequence(message, body);
    const {id, promptTokens} = sequence.execution;
    const size = promptTokens + sequence.output.length;
    if (size > this.behaviour.kvBlocks * TOKENS_PER_BLOCK) {
      this.refused++;
      return sendJson(response, 400, {error: 'contextTooLong'}, NOT_RUN);
    }
    if (body.stream === true) {
      this.streams.open(sequence, response);
    } else {
      sequence.sink = bufferedSink(sequence, response, id);
      response.once('close', () => this.batch.cancel(sequence));
    }
    this.batch.add(sequence);
  }

  /** Refuses a request if it must not run; returns whether it was refused. */
  private refuseIfNeeded(
    body: GenerationRequest,
    response: ServerResponse,
  ): boolean {
    const refusal = this.refusalOf(body);
    if (refusal === undefined) return false;
    this.refused++;
    const {status, error, notRun} = refusal;
    sendJson(
      response,
      status,
      {error},
      {
        ...RETRY_AFTER,
        ...(notRun ? NOT_RUN : {}),
      },
    );
    return true;
  }

  private refusalOf(body: GenerationRequest) {
    switch (this.behaviour.refusal) {
      case RefusalMode.Busy:
        return {status: 429, error: 'busy', notRun: true};
      case RefusalMode.Leaving:
        return {status: 503, error: 'leaving', notRun: true};
      case RefusalMode.Error:
        return {status: 503, error: 'failed', notRun: false};
      case RefusalMode.Off:
        break;
    }
    if (this.batch.load().waiting >= this.behaviour.maxWaiting) {
      return {status: 429, error: 'queueFull', notRun: true};
    }
    if (this.behaviour.requireLoaded && !this.models.serves(body.model)) {
      return {status: 404, error: 'notLoaded', notRun: true};
    }
    return undefined;
  }
}

/** Reads the body; undefined if it is not valid JSON. */
async function parseRequest(
  message: IncomingMessage,
): Promise<GenerationRequest | undefined> {
  const raw = await readBody(message);
  try {
    return JSON.parse(raw.toString('utf8')) as GenerationRequest;
  } catch {
    return undefined;
  }
}

function createSequence(message: IncomingMessage, body: GenerationRequest) {
  const {headers} = message;
  const text = promptText(body);
  const key = headers['idempotency-key'];
  return new Sequence(
    {
      id: String(headers['x-request-id'] ?? randomUUID()),
      ...(typeof key === 'string' ? {key} : {}),
      priority: Number(headers['x-priority'] ?? 0),
      model: body.model,
      promptTokens: countPromptTokens(text),
      cachedTokens: 0,
      computedTokens: 0,
      tokens: 0,
      startedAt: 0,
      cancelled: false,
      preempted: 0,
    },
    outputTokens(body),
    prefixBlocks(body.model, text),
  );
}

/** A sink that sends the whole output in one response. */
function bufferedSink(
  sequence: Sequence,
  response: ServerResponse,
  id: string,
): SequenceSink {
  return {
    onToken: () => undefined,
    onEnd: () => {
      const content = sequence.output.join('');
      const choice = {
        index: 0,
        message: {role: 'assistant', content},
        text: content,
        finish_reason: 'stop',
      };
      const answer = {
        id,
        object: 'chat.completion',
        model: sequence.execution.model,
        choices: [choice],
        usage: usageOf(sequence),
      };
      sendJson(response, 200, answer, {'x-request-id': id});
    },
  };
}
