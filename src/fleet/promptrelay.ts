import type {Timer} from '../timer/index.js';
import type {SentPrompt} from './message.js';
import {RelayQueue} from './relayqueue.js';

/** Sends of a prompt within the zone, by each instance. */
const MAX_PROMPT_SENDS = 4;
/** Prompts that wait to be passed on; more would be told of too late. */
const MAX_QUEUED_PROMPTS = 200;
/** Most bytes of prompts in one message. */
const MAX_PROMPT_BYTES = 1_000;
/**
 * Time for which an instance doesn't tell again that an upstream has the shared
 * parts of a prompt, in ms.
 */
const PROMPT_REPEAT_MS = 2_000;

/** Passes on which prompts were sent to upstreams, in a fleet that relays. */
export class PromptRelay {
  private readonly queue = new RelayQueue<SentPrompt>(
    MAX_PROMPT_SENDS,
    MAX_QUEUED_PROMPTS,
  );
  /** When a prompt's shared parts were last told of, by upstream and part. */
  private readonly told = new Map<string, number>();

  constructor(private readonly timer: Timer) {}

  /** Passes a prompt on unless its upstream was told of a short time ago. */
  add(prompt: SentPrompt): void {
    const now = this.timer.now();
    const lastPart = prompt.parts.at(-1)?.[0];
    if (lastPart === undefined) return;
    const key = `${prompt.upstream}/${lastPart}`;
    const toldAt = this.told.get(key);
    if (toldAt !== undefined && now - toldAt < PROMPT_REPEAT_MS) return;
    this.told.delete(key);
    this.told.set(key, now);
    for (const [oldest, at] of this.told) {
      if (now - at < PROMPT_REPEAT_MS) break;
      this.told.delete(oldest);
    }
    this.queue.add(key, prompt);
  }

  /** Prompts for a message to `copies` peers. */
  take(copies: number): SentPrompt[] {
    return this.queue.take(MAX_PROMPT_BYTES, copies);
  }
}
