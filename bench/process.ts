import {spawn, type ChildProcess} from 'node:child_process';
import {createInterface} from 'node:readline';
import {join} from 'node:path';
import {packageRoot} from '../src/cli/packageroot.js';

/** Ports that a process prints as a line of JSON once it listens. */
export interface Listening {
  port: number;
  peerPort?: number;
  operatorPort?: number;
}

const runningChildren = new Set<ChildProcess>();

// Leaves no child process behind when the bench fails.
process.on('exit', () => {
  for (const child of runningChildren) child.kill('SIGKILL');
});

/** A child process of the bench. */
export class Process {
  private constructor(
    private readonly child: ChildProcess,
    readonly listening: Listening,
    /** The last 200 lines that it wrote to standard error. */
    readonly errors: string[],
    private readonly exited: Promise<number | null>,
  ) {}

  /**
   * Starts a compiled module and waits until it listens. Rejects with
   * [[StartFailure]] if it exits before.
   */
  static async start(
    module: string,
    args: string[],
    env: NodeJS.ProcessEnv = {},
  ): Promise<Process> {
    const child = spawn(
      process.execPath,
      [join(packageRoot(), 'build', module), ...args],
      {stdio: ['ignore', 'pipe', 'pipe'], env: {...process.env, ...env}},
    );
    runningChildren.add(child);
    child.once('exit', () => runningChildren.delete(child));
    const errors: string[] = [];
    createInterface({input: child.stderr}).on('line', line => {
      errors.push(line);
      if (errors.length > 200) errors.shift();
    });
    const exited = new Promise<number | null>(resolve => {
      child.once('exit', code => resolve(code));
    });
    const listening = await readListening(child, errors);
    return new Process(child, listening, errors, exited);
  }

  get pid(): number {
    return this.child.pid ?? 0;
  }

  /** Kills the process with SIGKILL and waits for its end. */
  async kill(): Promise<void> {
    this.child.kill('SIGKILL');
    await this.exited;
  }

  /** Sends SIGTERM and returns the exit code once the process has ended. */
  async terminate(): Promise<number | null> {
    this.child.kill('SIGTERM');
    return this.exited;
  }

  pause(): void {
    this.child.kill('SIGSTOP');
  }

  resume(): void {
    this.child.kill('SIGCONT');
  }
}

function readListening(
  child: ChildProcess,
  errors: string[],
): Promise<Listening> {
  return new Promise((resolve, reject) => {
    if (child.stdout === null) return;
    createInterface({input: child.stdout}).once('line', line => {
      resolve(JSON.parse(line) as Listening);
    });
    child.once('exit', code => {
      reject(new StartFailure(code, errors));
    });
  });
}

/** A process exited before it listened. */
export class StartFailure extends Error {
  constructor(
    readonly code: number | null,
    readonly errors: readonly string[],
  ) {
    super(`process exited with ${code}: ${errors.slice(-3).join(' ')}`);
  }
}
