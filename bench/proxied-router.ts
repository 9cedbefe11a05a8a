import type {Proxy} from '../stand-ins/index.js';
import type {RouterProcess} from './cluster.js';
import type {Door} from './load.js';

/** A router under test, with the proxy its callers use. */
export class Station implements Door {
  number = 0;
  /** Whether a fault has its process in hand. */
  busy = false;

  constructor(
    readonly target: RouterProcess,
    readonly proxy: Proxy,
  ) {}

  get router(): string {
    return this.target.name;
  }

  process(): number {
    return this.number;
  }

  url(): string {
    return this.proxy.url;
  }

  /** Sends callers to the process that runs now. */
  aim(): void {
    const port = this.target.process?.listening.port ?? 0;
    this.proxy.aim(`${this.target.host}:${port}`);
  }

  async restart(): Promise<void> {
    await this.target.start();
    this.number++;
    this.aim();
  }
}
