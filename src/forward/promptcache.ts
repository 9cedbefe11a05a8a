import type {Prompt, PromptPart} from './protocol.js';

/**
 * Estimates which prompt parts an engine has cached, from the prompts that the
 * instances sent to it. The least recently used parts are evicted first.
 */
export class PromptCacheModel {
  private readonly tokensByPart = new Map<string, number>();
  private totalTokens = 0;

  constructor(private readonly capacityTokens: number) {}

  /** Tokens of the leading parts of a prompt that are assumed to be cached. */
  cachedTokens(prompt: Prompt): number {
    let cachedTokens = 0;
    for (const {id, tokens} of prompt.parts) {
      if (!this.tokensByPart.has(id)) break;
      cachedTokens += tokens;
    }
    return cachedTokens;
  }

  /** Adds the parts of a prompt that was sent to the engine. */
  add(parts: readonly PromptPart[]): void {
    for (const {id, tokens} of parts) {
      this.totalTokens += tokens - (this.tokensByPart.get(id) ?? 0);
      this.tokensByPart.delete(id);
      this.tokensByPart.set(id, tokens);
    }
    for (const [id, tokens] of this.tokensByPart) {
      if (this.totalTokens <= this.capacityTokens) break;
      this.tokensByPart.delete(id);
      this.totalTokens -= tokens;
    }
  }
}
