/** How a request ended, for logs and metrics. */
export interface Ending {
  /**
   * `answered`: a success was delivered whole. `failed`: an error was, and the
   * request may have run. `refused`: it was not run. `broken`: the answer was
   * cut after it had begun. `gone`: the caller left.
   */
  outcome: 'answered' | 'failed' | 'refused' | 'broken' | 'gone';
  /** Status that the caller got, or would have got before the answer began. */
  status?: number;
  cause?: string;
  route?: string;
}
