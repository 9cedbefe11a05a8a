import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import type {AcceptedConfiguration} from '../config/index.js';
import type {Json} from './json.js';

const DRAFT_LIMIT_BYTES = 32 * 1024 * 1024;

/**
 * A document that an operator is editing. Forms carry the whole draft, so that
 * any instance can take the next step and none has to remember it.
 */
export interface Draft {
  /** Version that the draft was started from. */
  base: number;
  /** Document of that version. */
  origin: Json;
  /** Document as edited so far; it need not be valid. */
  document: Json;
}

/** A form did not carry a readable draft. */
export interface BrokenDraft {
  type: 'brokenDraft';
}

const draftSchema = z.object({
  base: z.number().int(),
  origin: z.json(),
  document: z.json(),
});

/** Starts a draft from the configuration in force. */
export function startDraft({version, document}: AcceptedConfiguration): Draft {
  const origin = plain(document);
  return {base: version, origin, document: plain(document)};
}

/** Encodes a draft for a hidden form field. */
export function encodeDraft(draft: Draft): string {
  return deflateRawSync(JSON.stringify(draft)).toString('base64url');
}

/** Decodes a draft from a form field. */
export function decodeDraft(text: string): Result<Draft, BrokenDraft> {
  try {
    const json = inflateRawSync(Buffer.from(text, 'base64url'), {
      maxOutputLength: DRAFT_LIMIT_BYTES,
    });
    const parsed = draftSchema.safeParse(JSON.parse(json.toString('utf8')));
    if (parsed.success) return ok(parsed.data);
  } catch {
    // Falls through: the text is not a draft.
  }
  return err({type: 'brokenDraft'});
}

function plain(document: unknown): Json {
  return JSON.parse(JSON.stringify(document)) as Json;
}
