import {readFileSync} from 'node:fs';
import {join} from 'node:path';
import {describe, expect, it} from 'vitest';
import {z} from 'zod';
import {packageRoot} from '../src/cli/packageroot.js';
import {documentSchema} from '../src/config/index.js';
import {settingsSchema} from '../src/instance/index.js';

/** The parts of a JSON schema that [[pathsOf]] reads. */
interface Schema {
  type?: string;
  properties?: Record<string, Schema>;
  items?: Schema;
  prefixItems?: Schema[];
  oneOf?: Schema[];
  anyOf?: Schema[];
}

/** Settings without a flag, as they are secrets. */
const ENVIRONMENT_ONLY = ['peerSecrets', 'operatorSecret', 'orderToken'];

const configurationPage = readFileSync(
  join(packageRoot(), 'docs', 'CONFIGURATION.md'),
  'utf8',
);

/** Paths of all fields of a schema; `[]` follows the name of an array. */
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

const documentedNames = (pattern: RegExp) =>
  [...configurationPage.matchAll(pattern)].map(match => match[1] ?? '').sort();

describe('docs/CONFIGURATION.md', () => {
  it('has a row for every field of the document, and no other', () => {
    const schema = z.toJSONSchema(documentSchema, {io: 'input'}) as Schema;
    const fields = [...new Set(pathsOf(schema, ''))].sort();
    expect(documentedNames(/^\| `([a-z][A-Za-z0-9.[\]]*)` +\|/gm)).toEqual(
      fields,
    );
  });

  it('has a row for every setting that is a flag, and no other', () => {
    const flags = Object.keys(settingsSchema.shape)
      .filter(name => !ENVIRONMENT_ONLY.includes(name))
      .map(name => name.replace(/[A-Z]/g, c => `-${c.toLowerCase()}`))
      .sort();
    expect(documentedNames(/^\| `--([a-z-]+)` +\|/gm)).toEqual(flags);
  });
});
