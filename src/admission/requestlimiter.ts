import {LimitTracker} from '../workspace/index.js';
import {ShedReason} from '../telemetry/index.js';
import type {Failure, ParsedRequest} from '../request/index.js';
import type {QueueEntry} from './queueentry.js';

/** A refusal by a contract limit. */
export interface LimitRefusal {
  reason: ShedReason;
  failure: Failure;
}

/** Enforces the limits of classes and of workspaces together. */
export class RequestLimiter {
  private readonly classes = new LimitTracker();
  private readonly workspaces = new LimitTracker();

  /** `instances` tells the number of live instances that share the limits. */
  constructor(private readonly instances: () => number) {}

  /** Counts an arrival; returns why it is refused, if it is. */
  checkArrival(work: ParsedRequest, now: number): LimitRefusal | undefined {
    const {serviceClass, workspace} = work;
    const count = this.instances();
    const ofClass = this.classes.recordArrival(
      serviceClass.name,
      serviceClass.limits,
      count,
      now,
    );
    if (ofClass.type === 'exceeded') {
      const {retryAfterMs} = ofClass;
      return {
        reason: ShedReason.ClassLimit,
        failure: {type: 'limited', scope: 'class', retryAfterMs},
      };
    }
    const ofWorkspace = this.workspaces.recordArrival(
      workspace.name,
      workspace.limits,
      count,
      now,
    );
    if (ofWorkspace.type !== 'exceeded') return undefined;
    const {retryAfterMs} = ofWorkspace;
    return {
      reason: ShedReason.WorkspaceLimit,
      failure: {type: 'limited', scope: 'workspace', retryAfterMs},
    };
  }

  /** Whether the concurrency limits let a request start. */
  mayStart({work: {serviceClass, workspace}}: QueueEntry): boolean {
    const count = this.instances();
    return (
      this.classes.mayStart(serviceClass.name, serviceClass.limits, count) &&
      this.workspaces.mayStart(workspace.name, workspace.limits, count)
    );
  }

  /** Notes that a request began to wait, or that its wait ended. */
  adjustQueued({work}: QueueEntry, change: 1 | -1, now: number): void {
    this.classes.adjustQueued(work.serviceClass.name, change, now);
    this.workspaces.adjustQueued(work.workspace.name, change, now);
  }

  recordStart({work}: QueueEntry, now: number): void {
    this.classes.recordStart(work.serviceClass.name, now);
    this.workspaces.recordStart(work.workspace.name, now);
  }

  recordEnd({work}: QueueEntry, now: number): void {
    this.classes.recordEnd(work.serviceClass.name, now);
    this.workspaces.recordEnd(work.workspace.name, now);
  }
}
