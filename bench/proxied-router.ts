import type {FaultProxy} from '../stand-ins/index.js';
import type {RouterProcess} from './cluster.js';
import type {RouterEndpoint} from './closedload.js';

/** A router under test, with the proxy its callers use. */
export class ProxiedRouter implements RouterEndpoint {
  processNumber = 0;
  /** Whether a fault has its process in hand. */
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

  /** Sends callers to the process that runs now. */
  redirectCallers(): void {
    const port = this.instance.process?.listening.port ?? 0;
    this.proxy.setTarget(`${this.instance.host}:${port}`);
  }

  async restart(): Promise<void> {
    await this.instance.start();
    this.processNumber++;
    this.redirectCallers();
  }
}
