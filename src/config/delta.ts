import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';

/**
 * One change to a document. Each element of the path is a key of an object, or
 * the `name` of an item in a list of named items. A change without a value
 * removes what the path refers to.
 */
export const changeSchema = z.strictObject({
  path: z.array(z.string()).min(1),
  value: z.unknown().optional(),
});

/** One change to a document. */
export type Change = z.output<typeof changeSchema>;

/** The path of a change leads through a value that does not exist. */
export interface UnknownPath {
  type: 'unknownPath';
  /** The path up to and including the first element that does not exist. */
  path: string[];
}

/** An item of a list that paths refer to by name. */
interface NamedItem {
  name: string;
}

/** Returns the changes that turn one document into another. */
export function diff(before: unknown, after: unknown): Change[] {
  const changes: Change[] = [];
  collectChanges([], before, after, changes);
  return changes;
}

/** Applies changes in order and returns the result; `document` is unchanged. */
export function applyChanges(
  document: unknown,
  changes: readonly Change[],
): Result<unknown, UnknownPath> {
  let current = document;
  for (const change of changes) {
    const next = applyChange(current, change, 0);
    if (next.isErr()) return next;
    current = next.value;
  }
  return ok(current);
}

function collectChanges(
  path: string[],
  before: unknown,
  after: unknown,
  changes: Change[],
): void {
  if (before === after) return;
  if (isObject(before) && isObject(after)) {
    collectObjectChanges(path, before, after, changes);
  } else if (isNamedList(before) && isNamedList(after)) {
    collectListChanges(path, before, after, changes);
  } else if (JSON.stringify(before) !== JSON.stringify(after)) {
    changes.push({path, value: after});
  }
}

function collectObjectChanges(
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
      collectChanges([...path, key], before[key], value, changes);
    } else {
      changes.push({path: [...path, key], value});
    }
  }
}

function collectListChanges(
  path: string[],
  before: readonly NamedItem[],
  after: readonly NamedItem[],
  changes: Change[],
): void {
  const previousByName = new Map(before.map(item => [item.name, item]));
  const nextNames = new Set(after.map(({name}) => name));
  const kept = before.filter(({name}) => nextNames.has(name));
  const inOrder = kept.every(({name}, index) => after[index]?.name === name);
  if (!inOrder) {
    changes.push({path, value: after});
    return;
  }
  for (const {name} of before) {
    if (!nextNames.has(name)) changes.push({path: [...path, name]});
  }
  for (const item of after) {
    const previous = previousByName.get(item.name);
    if (previous === undefined) {
      changes.push({path: [...path, item.name], value: item});
    } else {
      collectChanges([...path, item.name], previous, item, changes);
    }
  }
}

function applyChange(
  value: unknown,
  change: Change,
  depth: number,
): Result<unknown, UnknownPath> {
  const key = change.path[depth] ?? '';
  const isLast = depth === change.path.length - 1;
  if (Array.isArray(value)) {
    return applyChangeToList(value as unknown[], key, isLast, change, depth);
  }
  if (!isObject(value)) return err(unknownPath(change, depth));
  if (!isLast) {
    if (!Object.hasOwn(value, key)) return err(unknownPath(change, depth));
    return applyChange(value[key], change, depth + 1).map(next => ({
      ...value,
      [key]: next,
    }));
  }
  if (change.value !== undefined) return ok({...value, [key]: change.value});
  const remaining = Object.entries(value).filter(([name]) => name !== key);
  return ok(Object.fromEntries(remaining));
}

function applyChangeToList(
  list: readonly unknown[],
  name: string,
  isLast: boolean,
  change: Change,
  depth: number,
): Result<unknown, UnknownPath> {
  const index = list.findIndex(item => isNamed(item) && item.name === name);
  if (!isLast) {
    if (index === -1) return err(unknownPath(change, depth));
    return applyChange(list[index], change, depth + 1).map(next =>
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

function isNamed(value: unknown): value is NamedItem {
  return isObject(value) && typeof value['name'] === 'string';
}

function isNamedList(value: unknown): value is NamedItem[] {
  if (!Array.isArray(value) || !value.every(isNamed)) return false;
  return new Set(value.map(({name}) => name)).size === value.length;
}
