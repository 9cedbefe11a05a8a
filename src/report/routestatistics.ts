import {LogEvent} from '../telemetry/logevent.js';
import type {LogLine} from './logparser.js';

/** Outcomes and durations of the requests of one route. */
export interface RouteStatistics {
  route: string;
  requests: number;
  /** Share of requests answered within the route's target, 0 to 1. */
  attained: number;
  /** Requests by outcome and cause, most frequent first. */
  endings: Array<{ending: string; requests: number}>;
  /** Durations of answered requests; 0 if there are none. */
  medianMs: number;
  p99Ms: number;
}

/** Computes the statistics of ended requests by route, busiest route first. */
export function routeStatistics(lines: readonly LogLine[]): RouteStatistics[] {
  const routes = new Map<string, LogLine[]>();
  for (const line of lines) {
    if (line.event !== LogEvent.Ended) continue;
    const {route = 'none'} = line;
    const routeLines = routes.get(route) ?? [];
    routeLines.push(line);
    routes.set(route, routeLines);
  }
  return [...routes]
    .map(([route, ended]) => statisticsOf(route, ended))
    .sort((a, b) => b.requests - a.requests);
}

function statisticsOf(
  route: string,
  ended: readonly LogLine[],
): RouteStatistics {
  const counts = new Map<string, number>();
  const durationsMs: number[] = [];
  let attained = 0;
  for (const {outcome, cause, ms = 0, toFirstMs, targetMs = 0} of ended) {
    const ending = [outcome, cause]
      .filter(part => part !== undefined)
      .join(': ');
    counts.set(ending, (counts.get(ending) ?? 0) + 1);
    if (outcome !== 'answered') continue;
    durationsMs.push(ms);
    if ((toFirstMs ?? ms) <= targetMs) attained++;
  }
  durationsMs.sort((a, b) => a - b);
  return {
    route,
    requests: ended.length,
    attained: attained / ended.length,
    endings: [...counts]
      .map(([ending, requests]) => ({ending, requests}))
      .sort((a, b) => b.requests - a.requests),
    medianMs: quantile(durationsMs, 0.5),
    p99Ms: quantile(durationsMs, 0.99),
  };
}

function quantile(sorted: readonly number[], share: number): number {
  return (
    sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0
  );
}
