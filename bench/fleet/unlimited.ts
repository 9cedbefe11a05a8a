import type {NoticeBoard, PermitUpstreams} from '../../src/fleet/index.js';

/** Notices of a fleet whose upstreams say nothing of themselves. */
export const NO_NOTICES: NoticeBoard = {
  take: () => ({}),
  learn: () => undefined,
};

/** Upstreams of which none declares a rate. */
export const NO_LIMITS: PermitUpstreams = {
  isNeeded: () => false,
  demands: () => [],
  find: () => undefined,
  learn: () => undefined,
  grant: () => undefined,
  expect: () => undefined,
};
