import type {History} from '../history.js';
import {checkAnswers} from './answers.js';
import {checkConfiguration} from './configuration.js';
import {checkLeaving} from './leaving.js';
import {checkNotRun} from './not-run.js';
import {checkOnce} from './at-most-once.js';
import {checkPublishing} from './publishing.js';
import {checkOrders} from './orders.js';
import {checkServed} from './served.js';
import {checkShutdown} from './shutdown.js';
import {checkTiers} from './tiers.js';
import {PromiseKind, type Violation} from './violation.js';

export {PromiseKind};
export type {Violation};

/** The checker of each promise. */
export const CHECKERS: Record<PromiseKind, (history: History) => Violation[]> =
  {
    [PromiseKind.Tiers]: checkTiers,
    [PromiseKind.Served]: checkServed,
    [PromiseKind.Answers]: checkAnswers,
    [PromiseKind.NotRun]: checkNotRun,
    [PromiseKind.Once]: checkOnce,
    [PromiseKind.Leaving]: checkLeaving,
    [PromiseKind.Shutdown]: checkShutdown,
    [PromiseKind.Configuration]: history => [
      ...checkConfiguration(history),
      ...checkPublishing(history),
    ],
    [PromiseKind.Orders]: checkOrders,
  };

/** Checks every promise. */
export function checkAll(history: History): Violation[] {
  return Object.values(CHECKERS).flatMap(check => check(history));
}
