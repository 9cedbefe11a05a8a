import {LogEvent} from '../telemetry/logevent.js';
import type {LogLine} from './logparser.js';

/** How the requests of one route ended. */
export interface RouteStatistics {
  route: string;
  requests: number;
  /** Share that was answered within the route's target, 0 to 1. */
  attained: number;
  /** Requests by outcome and cause, most frequent first. */
  endings: Array<{ending: string; requests: number}>;
  /** Times of answered requests, in ms. */
  medianMs: number;
  p99Ms: number;
}

/** Counts the requests that ended, by route, most frequent route first. */
export function routeStatistics(lines: readonly LogLine[]): RouteStatistics[] {
  const routes = new Map<string, LogLine[]>();
  for (const line of lines) {
    if (line.event !== LogEvent.Ended) continue;
    const {route = 'none'} = line;
    const known = routes.get(route) ?? [];
    known.push(line);
    routes.set(route, known);
  }
  return [...routes]
    .map(([route, ended]) => tally(route, ended))
    .sort((a, b) => b.requests - a.requests);
}

function tally(route: string, ended: readonly LogLine[]): RouteStatistics {
  const counts = new Map<string, number>();
  const times: number[] = [];
  let attained = 0;
  for (const {outcome, cause, ms = 0, toFirstMs, targetMs = 0} of ended) {
    const ending = [outcome, cause]
      .filter(part => part !== undefined)
      .join(': ');
    counts.set(ending, (counts.get(ending) ?? 0) + 1);
    if (outcome !== 'answered') continue;
    times.push(ms);
    if ((toFirstMs ?? ms) <= targetMs) attained++;
  }
  times.sort((a, b) => a - b);
  return {
    route,
    requests: ended.length,
    attained: attained / ended.length,
    endings: [...counts]
      .map(([ending, requests]) => ({ending, requests}))
      .sort((a, b) => b.requests - a.requests),
    medianMs: quantile(times, 0.5),
    p99Ms: quantile(times, 0.99),
  };
}

function quantile(sorted: readonly number[], share: number): number {
  return (
    sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0
  );
}
