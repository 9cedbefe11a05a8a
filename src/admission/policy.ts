import {RoundRobin, type Scheduler} from '../request/index.js';
import {ReportPoller} from '../upstream/index.js';
import type {Configuration} from '../config/index.js';
import {AdmissionScheduler, type SchedulerDependencies} from './scheduler.js';

/** How requests are scheduled. */
export enum SchedulingPolicy {
  /** Queues, limits and choices of this module. */
  Current = 'current',
  /** Each request at once to the next live upstream in turn. */
  Baseline = 'baseline',
}

/** A scheduler and what keeps it informed. */
export interface ManagedScheduler {
  scheduler: Scheduler;
  /** Follows a configuration, after the directory has. */
  apply(configuration: Configuration): void;
  start(): void;
  stop(): void;
}

/** Constructs the scheduler of a policy. */
export function createScheduler(
  policy: SchedulingPolicy,
  parts: SchedulerDependencies,
): ManagedScheduler {
  switch (policy) {
    case SchedulingPolicy.Baseline:
      return {
        scheduler: new RoundRobin(parts.directory),
        apply: () => undefined,
        start: () => undefined,
        stop: () => undefined,
      };
    case SchedulingPolicy.Current: {
      const scheduler = new AdmissionScheduler(parts);
      const reports = new ReportPoller(
        () => scheduler.candidateUpstreams(),
        parts.timer,
        () => scheduler.dispatch(),
      );
      return {
        scheduler,
        apply: configuration => scheduler.apply(configuration),
        start: () => {
          scheduler.start();
          reports.start();
        },
        stop: () => {
          reports.stop();
          scheduler.stop();
        },
      };
    }
  }
}
