export {Directory, offers, takesWork} from './directory.js';
export {
  BLOCK_CHARACTERS,
  BLOCK_TOKENS,
  CHARACTERS_PER_TOKEN,
  prefixBlocks,
  promptText,
  promptTokens,
} from './prefix.js';
export type {PromptBody, PromptMessage} from './prefix.js';
export {Upstream} from './upstream.js';
export type {LoadReport} from './upstream.js';
