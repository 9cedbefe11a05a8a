import {isObject, textOf, type Json} from './json.js';

/** One value that differs between two documents. */
export interface Change {
  /** Path of the value; items of lists go by their name where they have one. */
  path: string;
  /** Absent where there was, or is, no such value. */
  before?: Json;
  after?: Json;
}

/** A value that two operators changed in different ways. */
export interface Clash {
  path: string;
  mine?: Json;
  theirs?: Json;
}

/** Two changes of one document brought together. */
export interface Merger {
  /** The document with both changes; mine where they clash. */
  document: Json;
  clashes: Clash[];
}

/** Lists the values that differ, in the order of the documents. */
export function changesBetween(before: Json, after: Json): Change[] {
  const changes: Change[] = [];
  compare('', keyed(before), keyed(after), changes);
  return changes;
}

/** Applies what changed from `origin` to `mine` to `theirs` as well. */
export function mergeChanges(origin: Json, mine: Json, theirs: Json): Merger {
  const clashes: Clash[] = [];
  const merged = merge('', keyed(origin), keyed(mine), keyed(theirs), clashes);
  return {document: merged === undefined ? null : unkeyed(merged), clashes};
}

/** A document whose lists of named items are maps by name. */
type Keyed =
  | {type: 'value'; value: Json}
  | {type: 'object'; entries: Map<string, Keyed>}
  | {type: 'list'; entries: Map<string, Keyed>};

function keyed(value: Json): Keyed {
  if (Array.isArray(value)) return keyedList(value);
  if (!isObject(value)) return {type: 'value', value};
  const entries = Object.entries(value).map(
    ([name, inner]) => [name, keyed(inner)] as const,
  );
  return {type: 'object', entries: new Map(entries)};
}

function keyedList(items: Json[]): Keyed {
  const keys = items.map(keyOf);
  const distinct = new Set(keys).size === keys.length;
  if (!distinct || keys.includes(undefined)) {
    return {type: 'value', value: items};
  }
  const entries = items.map(
    (item, index) => [keys[index] ?? '', keyed(item)] as const,
  );
  return {type: 'list', entries: new Map(entries)};
}

/** What an item of a list goes by. */
function keyOf(item: Json): string | undefined {
  if (!isObject(item)) return undefined;
  const {name, between, sha256} = item;
  if (typeof name === 'string' && name !== '') return name;
  if (Array.isArray(between)) return between.map(textOf).join('–');
  if (typeof sha256 === 'string') return sha256;
  return undefined;
}

function unkeyed(value: Keyed): Json {
  switch (value.type) {
    case 'value':
      return value.value;
    case 'list':
      return [...value.entries.values()].map(unkeyed);
    case 'object':
      return Object.fromEntries(
        [...value.entries].map(([name, inner]) => [name, unkeyed(inner)]),
      );
  }
}

function compare(
  path: string,
  before: Keyed | undefined,
  after: Keyed | undefined,
  changes: Change[],
): void {
  if (same(before, after)) return;
  if (
    before === undefined ||
    after === undefined ||
    before.type === 'value' ||
    after.type === 'value'
  ) {
    changes.push({
      path,
      ...(before === undefined ? {} : {before: unkeyed(before)}),
      ...(after === undefined ? {} : {after: unkeyed(after)}),
    });
    return;
  }
  for (const name of namesOf(before, after)) {
    const inner = join(path, name);
    compare(inner, before.entries.get(name), after.entries.get(name), changes);
  }
}

function merge(
  path: string,
  origin: Keyed | undefined,
  mine: Keyed | undefined,
  theirs: Keyed | undefined,
  clashes: Clash[],
): Keyed | undefined {
  if (same(mine, theirs) || same(origin, theirs)) return mine;
  if (same(origin, mine)) return theirs;
  if (
    mine === undefined ||
    theirs === undefined ||
    mine.type === 'value' ||
    theirs.type === 'value'
  ) {
    clashes.push({
      path,
      ...(mine === undefined ? {} : {mine: unkeyed(mine)}),
      ...(theirs === undefined ? {} : {theirs: unkeyed(theirs)}),
    });
    return mine;
  }
  const entries = new Map<string, Keyed>();
  for (const name of namesOf(theirs, mine)) {
    const inner = merge(
      join(path, name),
      origin === undefined || origin.type === 'value'
        ? undefined
        : origin.entries.get(name),
      mine.entries.get(name),
      theirs.entries.get(name),
      clashes,
    );
    if (inner !== undefined) entries.set(name, inner);
  }
  return {type: mine.type, entries};
}

function namesOf(
  first: Exclude<Keyed, {type: 'value'}>,
  second: Exclude<Keyed, {type: 'value'}>,
): Set<string> {
  return new Set([...first.entries.keys(), ...second.entries.keys()]);
}

function same(a: Keyed | undefined, b: Keyed | undefined): boolean {
  if (a === undefined || b === undefined) return a === b;
  return canonical(unkeyed(a)) === canonical(unkeyed(b));
}

/** JSON text that does not depend on the order of names. */
function canonical(value: Json): string {
  if (Array.isArray(value)) return `[${value.map(canonical).join(',')}]`;
  if (!isObject(value)) return JSON.stringify(value);
  const entries = Object.entries(value)
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([name, inner]) => `${JSON.stringify(name)}:${canonical(inner)}`);
  return `{${entries.join(',')}}`;
}

function join(path: string, name: string): string {
  return path === '' ? name : `${path}.${name}`;
}
