import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';

/**
 * One step from a document to the next. The path names a value: a key of an
 * object, or the `name` of an item in a list of named items. Without a value
 * the step removes what the path names.
 */
export const changeSchema = z.strictObject({
  path: z.array(z.string()).min(1),
  value: z.unknown().optional(),
});

/** One step from a document to the next. */
export type Change = z.output<typeof changeSchema>;

/** A step leads through something that the document does not have. */
export interface UnknownPath {
  type: 'unknownPath';
  path: string[];
}

interface Named {
  name: string;
}

/** Returns the steps that lead from one document to another. */
export function diff(before: unknown, after: unknown): Change[] {
  const changes: Change[] = [];
  collect([], before, after, changes);
  return changes;
}

/** Takes steps in order. The given document is left as it was. */
export function applyChanges(
  document: unknown,
  changes: readonly Change[],
): Result<unknown, UnknownPath> {
  let current = document;
  for (const change of changes) {
    const next = step(current, change, 0);
    if (next.isErr()) return next;
    current = next.value;
  }
  return ok(current);
}

function collect(
  path: string[],
  before: unknown,
  after: unknown,
  changes: Change[],
): void {
  if (before === after) return;
  if (isObject(before) && isObject(after)) {
    collectKeys(path, before, after, changes);
  } else if (isNamedList(before) && isNamedList(after)) {
    collectItems(path, before, after, changes);
  } else if (JSON.stringify(before) !== JSON.stringify(after)) {
    changes.push({path, value: after});
  }
}

function collectKeys(
  path: string[],
  before: Record<string, unknown>,
  after: Record<string, unknown>,
  changes: Change[],
): void {
  for (const key of Object.keys(before)) {
    if (!Object.hasOwn(after, key)) changes.push({path: [...path, key]});
  }
  for (const [key, value] of Object.entries(after)) {
    if (Object.hasOwn(before, key)) {
      collect([...path, key], before[key], value, changes);
    } else {
      changes.push({path: [...path, key], value});
    }
  }
}

function collectItems(
  path: string[],
  before: readonly Named[],
  after: readonly Named[],
  changes: Change[],
): void {
  const known = new Map(before.map(item => [item.name, item]));
  const names = new Set(after.map(({name}) => name));
  const kept = before.filter(({name}) => names.has(name));
  const inOrder = kept.every(({name}, index) => after[index]?.name === name);
  if (!inOrder) {
    changes.push({path, value: after});
    return;
  }
  for (const {name} of before) {
    if (!names.has(name)) changes.push({path: [...path, name]});
  }
  for (const item of after) {
    const old = known.get(item.name);
    if (old === undefined) {
      changes.push({path: [...path, item.name], value: item});
    } else {
      collect([...path, item.name], old, item, changes);
    }
  }
}

function step(
  value: unknown,
  change: Change,
  depth: number,
): Result<unknown, UnknownPath> {
  const key = change.path[depth] ?? '';
  const isLast = depth === change.path.length - 1;
  if (Array.isArray(value)) {
    return stepIntoList(value as unknown[], key, isLast, change, depth);
  }
  if (!isObject(value)) return err(unknownPath(change, depth));
  if (!isLast) {
    if (!Object.hasOwn(value, key)) return err(unknownPath(change, depth));
    return step(value[key], change, depth + 1).map(next => ({
      ...value,
      [key]: next,
    }));
  }
  if (change.value !== undefined) return ok({...value, [key]: change.value});
  const rest = Object.entries(value).filter(([name]) => name !== key);
  return ok(Object.fromEntries(rest));
}

function stepIntoList(
  list: readonly unknown[],
  name: string,
  isLast: boolean,
  change: Change,
  depth: number,
): Result<unknown, UnknownPath> {
  const index = list.findIndex(item => isNamed(item) && item.name === name);
  if (!isLast) {
    if (index === -1) return err(unknownPath(change, depth));
    return step(list[index], change, depth + 1).map(next =>
      list.with(index, next),
    );
  }
  if (change.value === undefined) return ok(list.filter((_, i) => i !== index));
  if (index === -1) return ok([...list, change.value]);
  return ok(list.with(index, change.value));
}

function unknownPath({path}: Change, depth: number): UnknownPath {
  return {type: 'unknownPath', path: path.slice(0, depth + 1)};
}

function isObject(value: unknown): value is Record<string, unknown> {
  return value !== null && typeof value === 'object' && !Array.isArray(value);
}

function isNamed(value: unknown): value is Named {
  return isObject(value) && typeof value['name'] === 'string';
}

function isNamedList(value: unknown): value is Named[] {
  if (!Array.isArray(value) || !value.every(isNamed)) return false;
  return new Set(value.map(({name}) => name)).size === value.length;
}
