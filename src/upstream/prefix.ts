import xxhash from 'xxhash-wasm';

/** Characters that engines count as one prompt token, on average. */
export const CHARACTERS_PER_TOKEN = 4;
/** Prompt tokens in one block of an engine's prefix cache. */
export const TOKENS_PER_BLOCK = 32;
/** Characters of prompt text in one block of an engine's prefix cache. */
export const CHARACTERS_PER_BLOCK = TOKENS_PER_BLOCK * CHARACTERS_PER_TOKEN;

const HASH_DIGITS = 16;

const hasher = await xxhash();

/** One message of a chat. */
export interface PromptMessage {
  role: string;
  content?: unknown;
}

/** The part of a generation request that holds its prompt. */
export interface PromptBody {
  messages?: PromptMessage[] | undefined;
  prompt?: string | string[] | undefined;
}

/** The prompt of a request as the one text that prefix blocks are cut from. */
export function promptText({messages, prompt}: PromptBody): string {
  if (messages !== undefined) {
    return messages
      .map(({role, content}) => `${role}\n${contentText(content)}\n`)
      .join('');
  }
  return Array.isArray(prompt) ? prompt.join('\n') : (prompt ?? '');
}

function contentText(content: unknown): string {
  return typeof content === 'string' ? content : JSON.stringify(content ?? '');
}

/** Number of tokens that an engine counts for a prompt text. */
export function countPromptTokens(text: string): number {
  return Math.max(1, Math.ceil(text.length / CHARACTERS_PER_TOKEN));
}

/**
 * Hashes of the full blocks of a prompt, first block first. Each hash covers
 * the model, the adapter and all text up to the end of its block, so that two
 * prompts share a hash exactly when they share that prefix. `limit` bounds the
 * number of blocks.
 */
export function prefixBlocks(
  model: string,
  text: string,
  limit = Number.POSITIVE_INFINITY,
): string[] {
  const count = Math.min(limit, Math.floor(text.length / CHARACTERS_PER_BLOCK));
  if (count === 0) return [];
  const blocks: string[] = [];
  let hash = hasher.h64(model);
  for (let index = 0; index < count; index++) {
    const start = index * CHARACTERS_PER_BLOCK;
    hash = hasher.h64(text.slice(start, start + CHARACTERS_PER_BLOCK), hash);
    blocks.push(hash.toString(16).padStart(HASH_DIGITS, '0'));
  }
  return blocks;
}
