/** How a request ended, for logs and metrics. */
export interface Ending {
  /**
   * `answered`: a successful response was delivered completely. `failed`: an
   * error was returned and the request may have run. `refused`: the request did
   * not run. `broken`: the response was cut after it had started. `gone`: the
   * caller disconnected.
   */
  outcome: 'answered' | 'failed' | 'refused' | 'broken' | 'gone';
  /** HTTP status that was sent, or would have been if none had been sent. */
  status?: number;
  cause?: string;
  route?: string;
}
