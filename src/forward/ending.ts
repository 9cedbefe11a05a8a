/** How a request ended, for logs and metrics. */
export interface Ending {
  outcome: 'answered' | 'failed' | 'refused' | 'broken' | 'gone';
  status?: number;
  cause?: string;
  route?: string;
}
