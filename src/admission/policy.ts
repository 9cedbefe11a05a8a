import {RoundRobin, type Scheduler} from '../request/index.js';
import {ReportPoller} from '../upstream/index.js';
import type {Configuration} from '../config/index.js';
import {AdmissionScheduler, type SchedulerDependencies} from './scheduler.js';

/** How requests are scheduled; a setting. */
export enum SchedulingPolicy {
  /** Admission queues, limits and upstream selection of this module. */
  Current = 'current',
  /** Round robin over live upstreams, without a queue; for comparison. */
  Baseline = 'baseline',
}

/** A scheduler with its configuration updates, timers and load reports. */
export interface ManagedScheduler {
  scheduler: Scheduler;
  /** Applies a configuration; the directory must have applied it first. */
  apply(configuration: Configuration): void;
  start(): void;
  stop(): void;
}

/** Creates the scheduler of a policy; it must be started. */
export function createScheduler(
  policy: SchedulingPolicy,
  deps: SchedulerDependencies,
): ManagedScheduler {
  switch (policy) {
    case SchedulingPolicy.Baseline:
      return {
        scheduler: new RoundRobin(deps.directory),
        apply: () => undefined,
        start: () => undefined,
        stop: () => undefined,
      };
    case SchedulingPolicy.Current: {
      const scheduler = new AdmissionScheduler(deps);
      const loadReports = new ReportPoller(
        () => scheduler.candidateUpstreams(),
        deps.timer,
        () => scheduler.dispatch(),
      );
      return {
        scheduler,
        apply: configuration => scheduler.apply(configuration),
        start: () => {
          scheduler.start();
          loadReports.start();
        },
        stop: () => {
          loadReports.stop();
          scheduler.stop();
        },
      };
    }
  }
}
