import {readFileSync} from 'node:fs';
import {expect, test} from 'vitest';
import {LogEvent} from '../src/telemetry/index.js';

test('every log event is documented, and nothing else is', () => {
  const page = readFileSync('docs/LOGS.md', 'utf8');
  const documented = [...page.matchAll(/^\| `(\w+)` /gm)].map(
    match => match[1],
  );
  expect(documented.sort()).toEqual(Object.values(LogEvent).sort());
});
