import {readFileSync} from 'node:fs';
import {join} from 'node:path';
import {describe, expect, it} from 'vitest';
import {z} from 'zod';
import {packageRoot} from '../src/cli/packageroot.js';
import {documentSchema} from '../src/config/index.js';
import {settingsSchema} from '../src/instance/index.js';

/** The parts of a JSON schema that the walk below reads. */
interface Schema {
  type?: string;
  properties?: Record<string, Schema>;
  items?: Schema;
  prefixItems?: Schema[];
  oneOf?: Schema[];
  anyOf?: Schema[];
}

/** Settings that come from the environment only, or have no flag. */
const SECRETS = ['peerSecrets', 'operatorSecret', 'orderToken'];

const page = readFileSync(
  join(packageRoot(), 'docs', 'CONFIGURATION.md'),
  'utf8',
);

function pathsOf(schema: Schema, path: string): string[] {
  const variants = [...(schema.oneOf ?? []), ...(schema.anyOf ?? [])];
  if (variants.length > 0) return variants.flatMap(one => pathsOf(one, path));
  if (schema.properties !== undefined) {
    return Object.entries(schema.properties).flatMap(([name, inner]) =>
      pathsOf(inner, path === '' ? name : `${path}.${name}`),
    );
  }
  if (schema.items !== undefined && schema.prefixItems === undefined) {
    return pathsOf(schema.items, `${path}[]`);
  }
  return [path];
}

const rows = (pattern: RegExp) =>
  [...page.matchAll(pattern)].map(match => match[1] ?? '').sort();

describe('docs/CONFIGURATION.md', () => {
  it('has a row for every field of the document, and no other', () => {
    const schema = z.toJSONSchema(documentSchema, {io: 'input'}) as Schema;
    const fields = [...new Set(pathsOf(schema, ''))].sort();
    expect(rows(/^\| `([a-z][A-Za-z0-9.[\]]*)` +\|/gm)).toEqual(fields);
  });

  it('has a row for every setting that is a flag, and no other', () => {
    const flags = Object.keys(settingsSchema.shape)
      .filter(name => !SECRETS.includes(name))
      .map(name => name.replace(/[A-Z]/g, c => `-${c.toLowerCase()}`))
      .sort();
    expect(rows(/^\| `--([a-z-]+)` +\|/gm)).toEqual(flags);
  });
});
