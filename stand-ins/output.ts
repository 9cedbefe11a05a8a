import {createHash} from 'node:crypto';

const WORDS =
  'glue ply core reel tube wind mandrel paper seam edge card foil mint set lot bid'.split(
    ' ',
  );

/** Fields of a generation request that determine its output. */
export interface GenerationBody {
  model: string;
  messages?: unknown;
  prompt?: unknown;
  max_tokens?: number;
  metadata?: {output_tokens?: string};
}

/**
 * Number of tokens an engine generates for a request: `metadata.output_tokens`
 * if given, otherwise derived from the prompt; at most `max_tokens`.
 */
export function outputLength(body: GenerationBody): number {
  const requested = Number(body.metadata?.output_tokens ?? 0);
  const length = requested > 0 ? requested : 4 + (digestOf(body)[1] ?? 0) / 8;
  return Math.max(1, Math.min(Math.floor(length), body.max_tokens ?? 4096));
}

/**
 * The tokens an engine generates for a request. They depend on the request
 * alone, so that a caller can verify an answer byte by byte.
 */
export function outputTokens(body: GenerationBody): string[] {
  const digest = digestOf(body);
  const digestPrefix = digest.toString('hex').slice(0, 12);
  const tokens = [digestPrefix];
  for (let index = 1; index < outputLength(body); index++) {
    const wordIndex = (digest[index % digest.length] ?? 0) + index * 7;
    tokens.push(` ${WORDS[wordIndex % WORDS.length] ?? ''}`);
  }
  return tokens;
}

function digestOf({model, messages, prompt}: GenerationBody): Buffer {
  return createHash('sha256')
    .update(JSON.stringify([model, messages ?? null, prompt ?? null]))
    .digest();
}
