import {describe, expect, it} from 'vitest';
import {checkAll} from '../bench/checker/index.js';
import {Deployment} from '../bench/deployment.js';
import {runFaults} from '../bench/faultrun.js';

describe('a short fault run', () => {
  it('violates no guarantee', async () => {
    const history = await runFaults({
      seed: 11,
      seconds: 8,
      deployment: Deployment.Nilecoil,
      callers: 8,
    });
    expect(checkAll(history)).toEqual([]);
    expect(history.faults.length).toBeGreaterThan(3);
    expect(history.operations.length).toBeGreaterThan(100);
  });
});
