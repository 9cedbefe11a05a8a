import {ContractLimits} from '../workspace/index.js';
import {ShedReason} from '../telemetry/index.js';
import type {Failure, Work} from '../request/index.js';
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
  private readonly classLimits = new ContractLimits();
  private readonly workspaceLimits = new ContractLimits();

  /** `liveInstances` returns how many instances the limits are divided over. */
  constructor(private readonly liveInstances: () => number) {}

  /** Counts an arrival against the limits; returns the refusal, if any. */
  checkArrival(work: Work, now: number): LimitRefusal | undefined {
    const {serviceClass, workspace} = work;
    const instances = this.liveInstances();
    const classVerdict = this.classLimits.arrive(
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
    const workspaceVerdict = this.workspaceLimits.arrive(
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
    this.classLimits.queued(work.serviceClass.name, delta, now);
    this.workspaceLimits.queued(work.workspace.name, delta, now);
  }

  recordStart({work}: QueueEntry, now: number): void {
    this.classLimits.started(work.serviceClass.name, now);
    this.workspaceLimits.started(work.workspace.name, now);
  }

  recordEnd({work}: QueueEntry, now: number): void {
    this.classLimits.ended(work.serviceClass.name, now);
    this.workspaceLimits.ended(work.workspace.name, now);
  }
}
