import {z} from 'zod';

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

/**
 * A list whose check ends with its first invalid item, since all problems of a
 * long list may take more memory than the process has.
 */
export function listOf<T extends z.ZodType>(item: T) {
  return z
    .array(z.unknown())
    .transform((items, context): Array<z.output<T>> => {
      const values: Array<z.output<T>> = [];
      for (const [index, value] of items.entries()) {
        const parsed = item.safeParse(value);
        if (!parsed.success) {
          const [first] = parsed.error.issues;
          context.addIssue({
            code: 'custom',
            path: [index, ...(first?.path ?? [])],
            message: first?.message ?? 'invalid',
          });
          return z.NEVER;
        }
        values.push(parsed.data);
      }
      return values;
    });
}
