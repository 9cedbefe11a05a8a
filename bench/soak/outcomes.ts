import type {SentRequest} from './history.js';

/** Number of requests by how they ended for their callers. */
export function countOutcomes(requests: SentRequest[]): Record<string, number> {
  return countBy(requests.map(describeOutcome));
}

function describeOutcome({outcome}: SentRequest): string {
  if (outcome === undefined) return 'open';
  if (outcome.type !== 'answered') return outcome.type;
  return `${outcome.status}${outcome.complete ? '' : ' incomplete'}`;
}

export function countBy(names: string[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const name of names) counts[name] = (counts[name] ?? 0) + 1;
  return counts;
}
