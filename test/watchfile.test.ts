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

test('a change is told once, and a file that is gone for a while is none', () => {
  vi.useFakeTimers();
  const folder = mkdtempSync(join(tmpdir(), 'watch-'));
  const path = join(folder, 'settings.json');
  writeFileSync(path, '{}');
  const changed = vi.fn();
  const watch = watchFile(path, new SystemTimer(), changed);
  try {
    vi.advanceTimersByTime(3_000);
    expect(changed).toHaveBeenCalledTimes(0);
    utimesSync(path, 1, 1);
    vi.advanceTimersByTime(3_000);
    expect(changed).toHaveBeenCalledTimes(1);
    renameSync(path, `${path}.old`);
    vi.advanceTimersByTime(3_000);
    expect(changed).toHaveBeenCalledTimes(1);
    writeFileSync(path, '{"new": true}');
    vi.advanceTimersByTime(3_000);
    expect(changed).toHaveBeenCalledTimes(2);
  } finally {
    watch.end();
    vi.useRealTimers();
    rmSync(folder, {recursive: true});
  }
});
