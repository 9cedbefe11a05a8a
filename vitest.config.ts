import {defineConfig} from 'vitest/config';

/** Tests that measure a process, which run one at a time after all others. */
const MEASURED = [
  'test/hostileclients.test.ts',
  'test/smallparts.test.ts',
  'test/unreadanswers.test.ts',
];

export default defineConfig({
  test: {
    testTimeout: 60_000,
    hookTimeout: 60_000,
    maxWorkers: 4,
    reporters: process.env['CI']
      ? ['default', './scripts/tally.mjs']
      : ['default'],
    projects: [
      {
        extends: true,
        test: {
          name: 'parallel',
          include: ['test/**/*.test.ts'],
          exclude: MEASURED,
          sequence: {groupOrder: 0},
        },
      },
      {
        extends: true,
        test: {
          name: 'measured',
          include: MEASURED,
          maxWorkers: 1,
          sequence: {groupOrder: 1},
        },
      },
    ],
  },
});
