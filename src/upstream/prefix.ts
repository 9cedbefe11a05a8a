import xxhash from 'xxhash-wasm';

/** Average number of prompt characters per token. */
export const CHARACTERS_PER_TOKEN = 4;
/** Prompt tokens in one block of an engine's prefix cache. */
export const TOKENS_PER_BLOCK = 32;
/** Characters of prompt text in one block of an engine's prefix cache. */
export const CHARACTERS_PER_BLOCK = TOKENS_PER_BLOCK * CHARACTERS_PER_TOKEN;

const HASH_HEX_DIGITS = 16;

const hasher = await xxhash();

/** One message of a chat completion request. */
export interface PromptMessage {
  role: string;
  content?: unknown;
}

/** The prompt fields of a generation request body. */
export interface PromptBody {
  messages?: PromptMessage[] | undefined;
  prompt?: string | string[] | undefined;
}

/** Returns the prompt as a single text, which is split into prefix blocks. */
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

/** Returns the number of tokens of a prompt text, estimated by its length. */
export function countPromptTokens(text: string): number {
  return Math.max(1, Math.ceil(text.length / CHARACTERS_PER_TOKEN));
}

/**
 * Returns the hashes of the full blocks of a prompt, first block first. Each
 * hash covers the model (with its adapter) and all text up to the end of the
 * block, so two prompts share a hash exactly if they share that prefix. At most
 * `maxBlocks` hashes are returned.
 */
export function prefixBlocks(
  model: string,
  text: string,
  maxBlocks = Number.POSITIVE_INFINITY,
): string[] {
  const count = Math.min(
    maxBlocks,
    Math.floor(text.length / CHARACTERS_PER_BLOCK),
  );
  if (count === 0) return [];
  const blocks: string[] = [];
  let hash = hasher.h64(model);
  for (let index = 0; index < count; index++) {
    const start = index * CHARACTERS_PER_BLOCK;
    hash = hasher.h64(text.slice(start, start + CHARACTERS_PER_BLOCK), hash);
    blocks.push(hash.toString(16).padStart(HASH_HEX_DIGITS, '0'));
  }
  return blocks;
}
