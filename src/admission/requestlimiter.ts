import {LimitTracker} from '../workspace/index.js';
import {ShedReason} from '../telemetry/index.js';
import type {Failure, ParsedRequest} from '../request/index.js';
import type {QueueEntry} from './queueentry.js';

/** Refusal of a request by the limits of its class or workspace. */
export interface LimitRefusal {
  reason: ShedReason;
  failure: Failure;
}

/**
 * Enforces the limits that are configured for classes and workspaces: request
 * rate, concurrent requests and queued requests.
 */
export class RequestLimiter {
  private readonly classLimits = new LimitTracker();
  private readonly workspaceLimits = new LimitTracker();

  /** `liveInstances` returns how many instances the limits are divided over. */
  constructor(private readonly liveInstances: () => number) {}

  /** Counts an arrival against the limits; returns the refusal, if any. */
  checkArrival(work: ParsedRequest, now: number): LimitRefusal | undefined {
    const {serviceClass, workspace} = work;
    const instances = this.liveInstances();
    const classVerdict = this.classLimits.recordArrival(
      serviceClass.name,
      serviceClass.limits,
      instances,
      now,
    );
    if (classVerdict.type === 'exceeded') {
      const {retryAfterMs} = classVerdict;
      return {
        reason: ShedReason.ClassLimit,
        failure: {type: 'limited', scope: 'class', retryAfterMs},
      };
    }
    const workspaceVerdict = this.workspaceLimits.recordArrival(
      workspace.name,
      workspace.limits,
      instances,
      now,
    );
    if (workspaceVerdict.type !== 'exceeded') return undefined;
    const {retryAfterMs} = workspaceVerdict;
    return {
      reason: ShedReason.WorkspaceLimit,
      failure: {type: 'limited', scope: 'workspace', retryAfterMs},
    };
  }

  /** Whether the limits on concurrent requests let a request start. */
  mayStart({work: {serviceClass, workspace}}: QueueEntry): boolean {
    const instances = this.liveInstances();
    return (
      this.classLimits.mayStart(
        serviceClass.name,
        serviceClass.limits,
        instances,
      ) &&
      this.workspaceLimits.mayStart(workspace.name, workspace.limits, instances)
    );
  }

  /** Counts a request that entered (1) or left (-1) the wait queue. */
  adjustQueued({work}: QueueEntry, delta: 1 | -1, now: number): void {
    this.classLimits.adjustQueued(work.serviceClass.name, delta, now);
    this.workspaceLimits.adjustQueued(work.workspace.name, delta, now);
  }

  recordStart({work}: QueueEntry, now: number): void {
    this.classLimits.recordStart(work.serviceClass.name, now);
    this.workspaceLimits.recordStart(work.workspace.name, now);
  }

  recordEnd({work}: QueueEntry, now: number): void {
    this.classLimits.recordEnd(work.serviceClass.name, now);
    this.workspaceLimits.recordEnd(work.workspace.name, now);
  }
}
