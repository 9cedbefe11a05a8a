import type {Prompt, PromptPart} from './protocol.js';

/**
 * The parts of prompts that an engine is believed to hold, from what the
 * instances sent there. The least recently used yield.
 */
export class PromptCacheModel {
  private readonly parts = new Map<string, number>();
  private total = 0;

  constructor(private readonly limitTokens: number) {}

  /** Tokens of a prompt that are believed to be held. */
  cachedTokens(prompt: Prompt): number {
    let held = 0;
    for (const {id, tokens} of prompt.parts) {
      if (!this.parts.has(id)) break;
      held += tokens;
    }
    return held;
  }

  /** Takes in the parts of a prompt that was sent to the engine. */
  add(parts: readonly PromptPart[]): void {
    for (const {id, tokens} of parts) {
      this.total += tokens - (this.parts.get(id) ?? 0);
      this.parts.delete(id);
      this.parts.set(id, tokens);
    }
    for (const [id, tokens] of this.parts) {
      if (this.total <= this.limitTokens) break;
      this.parts.delete(id);
      this.total -= tokens;
    }
  }
}
