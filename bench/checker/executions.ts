import type {Execution} from '../history.js';

/** Suffix of the ids of later attempts of one request. */
const LATER_ATTEMPT_SUFFIX = /-\d+$/;
const REQUEST_ID_PARTS = 5;

/** Finds executions by what an operation knows of itself. */
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

/** Id of the request that an attempt's id belongs to. */
function requestIdOf(attempt: string): string {
  const parts = attempt.split('-').length;
  return parts > REQUEST_ID_PARTS
    ? attempt.replace(LATER_ATTEMPT_SUFFIX, '')
    : attempt;
}
