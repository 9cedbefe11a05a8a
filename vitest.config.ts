import {defineConfig} from 'vitest/config';

export default defineConfig({
  test: {
    include: ['test/**/*.test.ts'],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    maxWorkers: 4,
    reporters: process.env['CI']
      ? ['default', './scripts/tally.mjs']
      : ['default'],
  },
});
