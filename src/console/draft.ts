import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import type {AcceptedConfiguration} from '../config/index.js';
import type {Json} from './json.js';

/** Bounds the decompressed size of a draft. */
const MAX_DRAFT_BYTES = 32 * 1024 * 1024;

/**
 * A document that an operator is editing. Every form carries the whole draft,
 * so any instance can handle the next request and none stores the draft.
 */
export interface Draft {
  /** Configuration version that the draft is based on. */
  base: number;
  /** Document of version `base`. */
  origin: Json;
  /** Document as edited so far; it need not be valid. */
  document: Json;
}

/** The draft in a form is missing or malformed. */
export interface InvalidDraft {
  type: 'brokenDraft';
}

const draftSchema = z.object({
  base: z.number().int(),
  origin: z.json(),
  document: z.json(),
});

/** Creates a draft of the configuration in force, with nothing changed. */
export function startDraft({version, document}: AcceptedConfiguration): Draft {
  const origin = toJson(document);
  return {base: version, origin, document: toJson(document)};
}

/** Encodes a draft as deflated, base64url-encoded JSON for a hidden field. */
export function encodeDraft(draft: Draft): string {
  return deflateRawSync(JSON.stringify(draft)).toString('base64url');
}

/** Decodes a draft that [[encodeDraft]] encoded. */
export function decodeDraft(encoded: string): Result<Draft, InvalidDraft> {
  try {
    const json = inflateRawSync(Buffer.from(encoded, 'base64url'), {
      maxOutputLength: MAX_DRAFT_BYTES,
    });
    const parsed = draftSchema.safeParse(JSON.parse(json.toString('utf8')));
    if (parsed.success) return ok(parsed.data);
  } catch {
    // The text is not deflated JSON, or it is too large.
  }
  return err({type: 'brokenDraft'});
}

function toJson(document: unknown): Json {
  return JSON.parse(JSON.stringify(document)) as Json;
}
