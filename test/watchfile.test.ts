import {
  mkdtempSync,
  renameSync,
  rmSync,
  utimesSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {expect, test, vi} from 'vitest';
import {watchFile} from '../src/instance/watchfile.js';
import {SystemTimer} from '../src/timer/index.js';

test('reports each change once and ignores a missing file', () => {
  vi.useFakeTimers();
  const folder = mkdtempSync(join(tmpdir(), 'watch-'));
  const path = join(folder, 'settings.json');
  writeFileSync(path, '{}');
  const onChange = vi.fn();
  const watch = watchFile(path, new SystemTimer(), onChange);
  try {
    vi.advanceTimersByTime(3_000);
    expect(onChange).toHaveBeenCalledTimes(0);
    utimesSync(path, 1, 1);
    vi.advanceTimersByTime(3_000);
    expect(onChange).toHaveBeenCalledTimes(1);
    renameSync(path, `${path}.old`);
    vi.advanceTimersByTime(3_000);
    expect(onChange).toHaveBeenCalledTimes(1);
    writeFileSync(path, '{"new": true}');
    vi.advanceTimersByTime(3_000);
    expect(onChange).toHaveBeenCalledTimes(2);
  } finally {
    watch.end();
    vi.useRealTimers();
    rmSync(folder, {recursive: true});
  }
});
