import type {FaultProxy} from '../stand-ins/index.js';
import type {RouterProcess} from './cluster.js';
import type {RouterEndpoint} from './closedload.js';

/** A router under test, and the proxy that its callers connect to. */
export class ProxiedRouter implements RouterEndpoint {
  /** Number of restarts, which identifies the process in the history. */
  processNumber = 0;
  /** Whether a fault is being injected into its process. */
  underFault = false;

  constructor(
    readonly instance: RouterProcess,
    readonly proxy: FaultProxy,
  ) {}

  get router(): string {
    return this.instance.name;
  }

  process(): number {
    return this.processNumber;
  }

  url(): string {
    return this.proxy.url;
  }

  /** Points the proxy at the port of the current process. */
  redirectCallers(): void {
    const port = this.instance.process?.listening.port ?? 0;
    this.proxy.setTarget(`${this.instance.host}:${port}`);
  }

  /** Starts a new process and points the proxy at it. */
  async restart(): Promise<void> {
    await this.instance.start();
    this.processNumber++;
    this.redirectCallers();
  }
}
