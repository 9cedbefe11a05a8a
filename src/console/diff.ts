import {isObject, textOf, type Json} from './json.js';

/** One value that differs between two documents. */
export interface Change {
  /** Path of the value; list items are identified by name if they have one. */
  path: string;
  /** Absent if the value was added. */
  before?: Json;
  /** Absent if the value was removed. */
  after?: Json;
}

/** A value that two operators changed to different values. */
export interface Conflict {
  path: string;
  /** Absent if this operator removed the value. */
  mine?: Json;
  /** Absent if the other operator removed the value. */
  theirs?: Json;
}

/** The result of a three-way merge. */
export interface MergeResult {
  /** The document with both changes; conflicting values are `mine`. */
  document: Json;
  conflicts: Conflict[];
}

/** Lists the values that differ, in document order. */
export function changesBetween(before: Json, after: Json): Change[] {
  const changes: Change[] = [];
  collectChanges('', toKeyed(before), toKeyed(after), changes);
  return changes;
}

/** Three-way merge: applies the changes from `origin` to `mine` to `theirs`. */
export function mergeChanges(
  origin: Json,
  mine: Json,
  theirs: Json,
): MergeResult {
  const conflicts: Conflict[] = [];
  const merged = mergeKeyed(
    '',
    toKeyed(origin),
    toKeyed(mine),
    toKeyed(theirs),
    conflicts,
  );
  return {document: merged === undefined ? null : fromKeyed(merged), conflicts};
}

/** A document in which lists of named items are maps keyed by name. */
type KeyedValue =
  | {type: 'value'; value: Json}
  | {type: 'object'; entries: Map<string, KeyedValue>}
  | {type: 'list'; entries: Map<string, KeyedValue>};

function toKeyed(value: Json): KeyedValue {
  if (Array.isArray(value)) return listToKeyed(value);
  if (!isObject(value)) return {type: 'value', value};
  const entries = Object.entries(value).map(
    ([name, inner]) => [name, toKeyed(inner)] as const,
  );
  return {type: 'object', entries: new Map(entries)};
}

function listToKeyed(items: Json[]): KeyedValue {
  const keys = items.map(itemKey);
  const distinct = new Set(keys).size === keys.length;
  if (!distinct || keys.includes(undefined)) {
    return {type: 'value', value: items};
  }
  const entries = items.map(
    (item, index) => [keys[index] ?? '', toKeyed(item)] as const,
  );
  return {type: 'list', entries: new Map(entries)};
}

/** The name, region pair or key hash that identifies a list item, if any. */
function itemKey(item: Json): string | undefined {
  if (!isObject(item)) return undefined;
  const {name, between, sha256} = item;
  if (typeof name === 'string' && name !== '') return name;
  if (Array.isArray(between)) return between.map(textOf).join('–');
  if (typeof sha256 === 'string') return sha256;
  return undefined;
}

function fromKeyed(value: KeyedValue): Json {
  switch (value.type) {
    case 'value':
      return value.value;
    case 'list':
      return [...value.entries.values()].map(fromKeyed);
    case 'object':
      return Object.fromEntries(
        [...value.entries].map(([name, inner]) => [name, fromKeyed(inner)]),
      );
  }
}

function collectChanges(
  path: string,
  before: KeyedValue | undefined,
  after: KeyedValue | undefined,
  changes: Change[],
): void {
  if (isEqual(before, after)) return;
  if (
    before === undefined ||
    after === undefined ||
    before.type === 'value' ||
    after.type === 'value'
  ) {
    changes.push({
      path,
      ...(before === undefined ? {} : {before: fromKeyed(before)}),
      ...(after === undefined ? {} : {after: fromKeyed(after)}),
    });
    return;
  }
  for (const name of childNames(before, after)) {
    const childPath = joinPath(path, name);
    collectChanges(
      childPath,
      before.entries.get(name),
      after.entries.get(name),
      changes,
    );
  }
}

function mergeKeyed(
  path: string,
  origin: KeyedValue | undefined,
  mine: KeyedValue | undefined,
  theirs: KeyedValue | undefined,
  conflicts: Conflict[],
): KeyedValue | undefined {
  if (isEqual(mine, theirs) || isEqual(origin, theirs)) return mine;
  if (isEqual(origin, mine)) return theirs;
  if (
    mine === undefined ||
    theirs === undefined ||
    mine.type === 'value' ||
    theirs.type === 'value'
  ) {
    conflicts.push({
      path,
      ...(mine === undefined ? {} : {mine: fromKeyed(mine)}),
      ...(theirs === undefined ? {} : {theirs: fromKeyed(theirs)}),
    });
    return mine;
  }
  const entries = new Map<string, KeyedValue>();
  for (const name of childNames(theirs, mine)) {
    const mergedChild = mergeKeyed(
      joinPath(path, name),
      origin === undefined || origin.type === 'value'
        ? undefined
        : origin.entries.get(name),
      mine.entries.get(name),
      theirs.entries.get(name),
      conflicts,
    );
    if (mergedChild !== undefined) entries.set(name, mergedChild);
  }
  return {type: mine.type, entries};
}

function childNames(
  first: Exclude<KeyedValue, {type: 'value'}>,
  second: Exclude<KeyedValue, {type: 'value'}>,
): Set<string> {
  return new Set([...first.entries.keys(), ...second.entries.keys()]);
}

function isEqual(
  a: KeyedValue | undefined,
  b: KeyedValue | undefined,
): boolean {
  if (a === undefined || b === undefined) return a === b;
  return canonicalJson(fromKeyed(a)) === canonicalJson(fromKeyed(b));
}

/** JSON text that does not depend on the order of property names. */
function canonicalJson(value: Json): string {
  if (Array.isArray(value)) return `[${value.map(canonicalJson).join(',')}]`;
  if (!isObject(value)) return JSON.stringify(value);
  const entries = Object.entries(value)
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([name, inner]) => `${JSON.stringify(name)}:${canonicalJson(inner)}`);
  return `{${entries.join(',')}}`;
}

function joinPath(path: string, name: string): string {
  return path === '' ? name : `${path}.${name}`;
}
