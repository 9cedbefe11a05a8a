import type {Execution} from '../history.js';

/** Suffix that the id of a later attempt adds to the id of its request. */
const LATER_ATTEMPT_SUFFIX = /-\d+$/;
/** Parts of a request id, a UUID, between hyphens. */
const REQUEST_ID_PARTS = 5;

/** Looks up executions by request id, idempotency key or body digest. */
export class ExecutionIndex {
  private readonly byRequest = new Map<string, Execution[]>();
  private readonly byKey = new Map<string, Execution[]>();
  private readonly byDigest = new Map<string, Execution[]>();

  constructor(executions: readonly Execution[]) {
    for (const execution of executions) {
      append(this.byRequest, requestIdOf(execution.id), execution);
      if (execution.key !== undefined) {
        append(this.byKey, execution.key, execution);
      }
      if (execution.digest !== undefined) {
        append(this.byDigest, execution.digest, execution);
      }
    }
  }

  ofRequest(id: string): Execution[] {
    return this.byRequest.get(id) ?? [];
  }

  ofKey(key: string): Execution[] {
    return this.byKey.get(key) ?? [];
  }

  ofDigest(digest: string): Execution[] {
    return this.byDigest.get(digest) ?? [];
  }
}

function append(
  index: Map<string, Execution[]>,
  name: string,
  execution: Execution,
): void {
  const list = index.get(name) ?? [];
  list.push(execution);
  index.set(name, list);
}

/** Id of the request that an attempt belongs to. */
function requestIdOf(attempt: string): string {
  const parts = attempt.split('-').length;
  return parts > REQUEST_ID_PARTS
    ? attempt.replace(LATER_ATTEMPT_SUFFIX, '')
    : attempt;
}
