import type {z} from 'zod';

/** Longest description of a value's first problem, in characters. */
const MAX_CHARACTERS = 300;

/**
 * Describes the first problem of an invalid value, since the problems of a long
 * list take far more memory than the list.
 */
export function describeIssue({issues}: z.ZodError): string {
  const [first] = issues;
  if (first === undefined) return 'invalid';
  const at = first.path.length === 0 ? '' : `${first.path.join('.')}: `;
  const text = `${at}${first.message}`.slice(0, MAX_CHARACTERS);
  return issues.length === 1 ? text : `${text} (and ${issues.length - 1} more)`;
}
