import pino from 'pino';
import {Answers, ForwardMetrics} from '../../src/forward/index.js';
import {SystemTimer} from '../../src/timer/index.js';

/** Counts answers without a log. */
export function openAnswers(): Answers {
  return new Answers({
    timer: new SystemTimer(),
    logger: pino({enabled: false}),
    metrics: new ForwardMetrics(),
  });
}
