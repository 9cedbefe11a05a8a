/** A value of a JSON document. */
export type Json =
  string | number | boolean | null | Json[] | {[name: string]: Json};

/** Returns the value at a dotted path, such as `classes.0.tier`. */
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
 * Sets the value at a dotted path, creating objects on the way; undefined
 * removes it. Steps through values that are no objects or lists are ignored.
 */
export function setAt(
  document: Json,
  path: string,
  value: Json | undefined,
): void {
  const steps = path.split('.');
  const last = steps.pop() ?? '';
  let holder: Json = document;
  for (const step of steps) {
    const next = child(holder, step);
    if (next === undefined) return;
    holder = next;
  }
  if (Array.isArray(holder)) {
    if (value !== undefined) holder[Number(last)] = value;
  } else if (isObject(holder)) {
    if (value === undefined) Reflect.deleteProperty(holder, last);
    else define(holder, last, value);
  }
}

function child(holder: Json, step: string): Json | undefined {
  if (Array.isArray(holder)) return holder[Number(step)];
  if (!isObject(holder)) return undefined;
  const known = ownValue(holder, step);
  if (known !== undefined) return known;
  const created: Json = {};
  define(holder, step, created);
  return created;
}

/** Whether a value is an object with named values. */
export function isObject(
  value: Json | undefined,
): value is {[name: string]: Json} {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Returns the items of a list, or none where there is no list. */
export function listAt(document: Json, path: string): Json[] {
  const value = valueAt(document, path);
  return Array.isArray(value) ? value : [];
}

/** Writes a value as text for a form field or a table. */
export function textOf(value: Json | undefined): string {
  if (value === undefined || value === null) return '';
  return typeof value === 'string' ? value : JSON.stringify(value);
}

function ownValue(
  holder: {[name: string]: Json},
  name: string,
): Json | undefined {
  return Object.hasOwn(holder, name) ? holder[name] : undefined;
}

/** Sets a property even where its name is that of an inherited one. */
function define(holder: {[name: string]: Json}, name: string, value: Json) {
  Object.defineProperty(holder, name, {
    value,
    configurable: true,
    enumerable: true,
    writable: true,
  });
}
