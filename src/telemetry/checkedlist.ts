import {z} from 'zod';

/** Items of a list that are checked together. */
const PART_ITEMS = 256;

/**
 * A list that is checked up to its first invalid items, since the problems of
 * all of a long list take far more memory than the list.
 */
export function listOf<Item>(item: z.ZodType<Item>, minLength = 0) {
  const partSchema = z.array(item);
  return z
    .array(z.unknown())
    .min(minLength)
    .transform((values, context): Item[] => {
      const items: Item[] = [];
      for (let start = 0; start < values.length; start += PART_ITEMS) {
        const part = values.slice(start, start + PART_ITEMS);
        const parsed = partSchema.safeParse(part);
        if (!parsed.success) return fail(parsed.error, context, start);
        for (const value of parsed.data) items.push(value);
      }
      return items;
    });
}

/** The same for the values of a record. */
export function recordOf<Item>(item: z.ZodType<Item>) {
  const entriesSchema = listOf(z.tuple([z.string(), item]));
  return z
    .record(z.string(), z.unknown())
    .transform((values, context): Record<string, Item> => {
      const parsed = entriesSchema.safeParse(Object.entries(values));
      if (!parsed.success) return fail(parsed.error, context);
      return Object.fromEntries(parsed.data);
    });
}

/** Reports the first problem; of a list, one whose items begin at `start`. */
function fail(
  {issues: [issue]}: z.ZodError,
  context: z.RefinementCtx,
  start = 0,
): never {
  const {message = 'invalid', path = []} = issue ?? {};
  const [index, ...rest] = path;
  const at = typeof index === 'number' ? [start + index, ...rest] : path;
  context.addIssue({code: 'custom', message, path: at});
  return z.NEVER;
}
