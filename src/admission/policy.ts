import {RoundRobin, type Scheduler} from '../request/index.js';
import {ReportPoller} from '../upstream/index.js';
import type {Configuration} from '../config/index.js';
import {AdmissionScheduler, type SchedulerParts} from './scheduler.js';

/** How requests are scheduled. */
export enum Policy {
  /** Queues, limits and choices of this module. */
  Current = 'current',
  /** Each request at once to the next live upstream in turn. */
  Baseline = 'baseline',
}

/** A scheduler and what keeps it informed. */
export interface Scheduling {
  scheduler: Scheduler;
  /** Follows a configuration, after the directory has. */
  apply(configuration: Configuration): void;
  start(): void;
  stop(): void;
}

/** Constructs the scheduler of a policy. */
export function scheduling(policy: Policy, parts: SchedulerParts): Scheduling {
  switch (policy) {
    case Policy.Baseline:
      return {
        scheduler: new RoundRobin(parts.directory),
        apply: () => undefined,
        start: () => undefined,
        stop: () => undefined,
      };
    case Policy.Current: {
      const scheduler = new AdmissionScheduler(parts);
      const reports = new ReportPoller(
        () => scheduler.watched(),
        parts.timer,
        () => scheduler.drain(),
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
