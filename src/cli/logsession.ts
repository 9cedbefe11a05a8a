import {Agent} from 'undici';
import {
  ConfigurationFollower,
  publish,
  type Draft,
  type PublishOptions,
} from '../config/index.js';
import {HttpLog} from '../platform/index.js';
import {
  Level,
  componentLogger,
  openStderrLogger,
  Component,
} from '../telemetry/index.js';
import {SystemTimer} from '../timer/index.js';

const CATCH_UP_TIMEOUT_MS = 10_000;
const CATCH_UP_POLL_MS = 20;

/** A connection to the log that reads and publishes configurations. */
export class LogSession {
  private readonly agent = new Agent();
  private readonly timer = new SystemTimer();
  private readonly log: HttpLog;
  readonly follower: ConfigurationFollower;

  private constructor(logUrl: string) {
    this.log = new HttpLog(logUrl, this.agent);
    const logger = componentLogger(
      openStderrLogger(Level.Silent),
      Component.Cli,
    );
    this.follower = new ConfigurationFollower(this.log, this.timer, logger);
  }

  /**
   * Opens a session; undefined if the log can't be read to its end in time.
   * `historySince`: version whose later revisions are wanted.
   */
  static async open(
    logUrl: string,
    historySince?: number,
  ): Promise<LogSession | undefined> {
    const session = new LogSession(logUrl);
    session.follower.start(historySince);
    const deadline = session.timer.now() + CATCH_UP_TIMEOUT_MS;
    while (session.timer.now() < deadline) {
      if (await session.follower.readToEnd()) return session;
      await session.timer.sleep(CATCH_UP_POLL_MS);
    }
    await session.close();
    return undefined;
  }

  /** See [[publish]]. */
  publish(draft: Draft, options?: PublishOptions) {
    const {log, follower, timer} = this;
    return publish(draft, {log, follower, timer}, options);
  }

  /** Stops reading and closes all connections. */
  async close(): Promise<void> {
    const stopped = this.follower.stop();
    await this.agent.destroy();
    await stopped;
  }
}
