import type {History} from '../history.js';
import {checkAnswers} from './answers.js';
import {checkConfiguration} from './configuration.js';
import {checkLeaving} from './leaving.js';
import {checkNotRun} from './not-run.js';
import {checkAtMostOnce} from './at-most-once.js';
import {checkPublishing} from './publishing.js';
import {checkOrders} from './orders.js';
import {checkServed} from './served.js';
import {checkShutdown} from './shutdown.js';
import {checkTiers} from './tiers.js';
import {Guarantee, type Violation} from './violation.js';

export {Guarantee};
export type {Violation};

/** The checker of each guarantee. */
export const CHECKERS: Record<Guarantee, (history: History) => Violation[]> = {
  [Guarantee.Tiers]: checkTiers,
  [Guarantee.Served]: checkServed,
  [Guarantee.Answers]: checkAnswers,
  [Guarantee.NotRun]: checkNotRun,
  [Guarantee.Once]: checkAtMostOnce,
  [Guarantee.Leaving]: checkLeaving,
  [Guarantee.Shutdown]: checkShutdown,
  [Guarantee.Configuration]: history => [
    ...checkConfiguration(history),
    ...checkPublishing(history),
  ],
  [Guarantee.Orders]: checkOrders,
};

/** Runs every checker and returns all violations found in the history. */
export function checkAll(history: History): Violation[] {
  return Object.values(CHECKERS).flatMap(check => check(history));
}
