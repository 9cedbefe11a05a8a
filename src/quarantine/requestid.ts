/** Kind of a request, by which the evidence on requests is kept apart. */
export enum RequestKind {
  /** A request to a plain service. */
  Plain = 'plain',
  /** A request with a prompt. */
  Prompt = 'prompt',
}

const PREFIXES: Record<RequestKind, string> = {
  [RequestKind.Plain]: 'plain:',
  [RequestKind.Prompt]: 'prompt:',
};

/**
 * The id by which a whole request is held, beside the parts of its prompt.
 * `digest` is the same if the request comes again.
 */
export function requestPart(kind: RequestKind, digest: string): string {
  return PREFIXES[kind] + digest;
}

/** Whether the id is that of a whole request. */
export function isRequestPart(part: string): boolean {
  return Object.values(PREFIXES).some(prefix => part.startsWith(prefix));
}

/** Whether the id is that of a request to a plain service. */
export function isPlainRequest(part: string): boolean {
  return part.startsWith(PREFIXES[RequestKind.Plain]);
}

/** Whether the ids are those of a request with a prompt. */
export function hasPromptParts(parts: readonly string[]): boolean {
  return !parts.some(isPlainRequest);
}
