import {ContractLimits} from '../workspace/index.js';
import {ShedReason} from '../telemetry/index.js';
import type {Failure, ParsedRequest} from '../request/index.js';
import type {Entry} from './entry.js';

/** A refusal by a contract limit. */
export interface LimitRefusal {
  reason: ShedReason;
  failure: Failure;
}

/** Enforces the limits of classes and of workspaces together. */
export class Contracts {
  private readonly classes = new ContractLimits();
  private readonly workspaces = new ContractLimits();

  /** `instances` tells the number of live instances that share the limits. */
  constructor(private readonly instances: () => number) {}

  /** Counts an arrival; returns why it is refused, if it is. */
  arrive(work: ParsedRequest, now: number): LimitRefusal | undefined {
    const {serviceClass, workspace} = work;
    const count = this.instances();
    const ofClass = this.classes.arrive(
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
    const ofWorkspace = this.workspaces.arrive(
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
  mayStart({work: {serviceClass, workspace}}: Entry): boolean {
    const count = this.instances();
    return (
      this.classes.mayStart(serviceClass.name, serviceClass.limits, count) &&
      this.workspaces.mayStart(workspace.name, workspace.limits, count)
    );
  }

  /** Notes that a request began to wait, or that its wait ended. */
  queued({work}: Entry, change: 1 | -1, now: number): void {
    this.classes.queued(work.serviceClass.name, change, now);
    this.workspaces.queued(work.workspace.name, change, now);
  }

  started({work}: Entry, now: number): void {
    this.classes.started(work.serviceClass.name, now);
    this.workspaces.started(work.workspace.name, now);
  }

  ended({work}: Entry, now: number): void {
    this.classes.ended(work.serviceClass.name, now);
    this.workspaces.ended(work.workspace.name, now);
  }
}
