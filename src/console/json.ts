/** A JSON value. */
export type Json =
  string | number | boolean | null | Json[] | {[name: string]: Json};

/**
 * Returns the value at a dotted path, such as `classes.0.tier`, or undefined
 * if the path does not exist.
 */
export function valueAt(document: Json, path: string): Json | undefined {
  let value: Json | undefined = document;
  for (const step of path.split('.')) {
    if (Array.isArray(value)) value = value[Number(step)];
    else if (isObject(value)) value = ownValue(value, step);
    else return undefined;
  }
  return value;
}

/**
 * Sets the value at a dotted path and creates missing objects along it. The
 * value undefined removes a property. Does nothing if the path leads through a
 * value that is neither an object nor a list.
 */
export function setAt(
  document: Json,
  path: string,
  value: Json | undefined,
): void {
  const steps = path.split('.');
  const lastStep = steps.pop() ?? '';
  let parent: Json = document;
  for (const step of steps) {
    const next = getOrCreateChild(parent, step);
    if (next === undefined) return;
    parent = next;
  }
  if (Array.isArray(parent)) {
    if (value !== undefined) parent[Number(lastStep)] = value;
  } else if (isObject(parent)) {
    if (value === undefined) Reflect.deleteProperty(parent, lastStep);
    else defineProperty(parent, lastStep, value);
  }
}

function getOrCreateChild(parent: Json, step: string): Json | undefined {
  if (Array.isArray(parent)) return parent[Number(step)];
  if (!isObject(parent)) return undefined;
  const existing = ownValue(parent, step);
  if (existing !== undefined) return existing;
  const created: Json = {};
  defineProperty(parent, step, created);
  return created;
}

/** Whether a value is a JSON object, not a list. */
export function isObject(
  value: Json | undefined,
): value is {[name: string]: Json} {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Returns the list at a path, or an empty one if there is no list. */
export function listAt(document: Json, path: string): Json[] {
  const value = valueAt(document, path);
  return Array.isArray(value) ? value : [];
}

/** Formats a value as text for a form field or a table. */
export function textOf(value: Json | undefined): string {
  if (value === undefined || value === null) return '';
  return typeof value === 'string' ? value : JSON.stringify(value);
}

function ownValue(
  object: {[name: string]: Json},
  name: string,
): Json | undefined {
  return Object.hasOwn(object, name) ? object[name] : undefined;
}

/**
 * Sets an own property. Unlike an assignment, this does not invoke inherited
 * setters, so a name such as `__proto__` can't change the prototype.
 */
function defineProperty(
  object: {[name: string]: Json},
  name: string,
  value: Json,
) {
  Object.defineProperty(object, name, {
    value,
    configurable: true,
    enumerable: true,
    writable: true,
  });
}
