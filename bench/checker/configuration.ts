import {FaultKind, type History, type Publication} from '../history.js';
import {Guarantee, type Violation} from './violation.js';

/** Limit from acceptance until every router has a version in force, in ms. */
const IN_FORCE_LIMIT_MS = 6_000;
/** Time between two readings of a router's version, with a margin, in ms. */
const SIGHTING_INTERVAL_MS = 600;
/** Faults during which a router can't receive a configuration. */
const ISOLATING_FAULTS = new Set([
  FaultKind.KillRouter,
  FaultKind.PauseRouter,
  FaultKind.ReplaceRouter,
  FaultKind.LogOutage,
  FaultKind.SilentLog,
  FaultKind.RegionCut,
  FaultKind.StaleReads,
]);

/** Checks that versions come into force in time and are never rolled back. */
export function checkConfiguration(history: History): Violation[] {
  return [...findRollbacks(history), ...findLateVersions(history)];
}

/** Groups sightings by router process, each group in the order of time. */
function sightingsByProcess({sightings}: History) {
  const groups = new Map<string, History['sightings']>();
  for (const sighting of sightings) {
    const name = `${sighting.router} ${sighting.process}`;
    const group = groups.get(name) ?? [];
    group.push(sighting);
    groups.set(name, group);
  }
  return [...groups.values()];
}

function findRollbacks(history: History): Violation[] {
  return sightingsByProcess(history).flatMap(group => {
    let highest = group[0];
    for (const sighting of group) {
      if (highest !== undefined && sighting.version < highest.version) {
        const message = `${sighting.router} returned to an older version`;
        const trace = [highest, sighting];
        return [{guarantee: Guarantee.Configuration, message, trace}];
      }
      highest = sighting;
    }
    return [];
  });
}

/**
 * Publications that the log accepted, by version. Each is based on the one
 * accepted before it.
 */
export function acceptedPublications(
  publications: readonly Publication[],
): Publication[] {
  const ordered = [...publications].sort((a, b) => a.version - b.version);
  const chain: Publication[] = [];
  for (const publication of ordered) {
    const last = chain.at(-1);
    if (last === undefined || publication.base === last.version) {
      chain.push(publication);
    }
  }
  return chain;
}

function findLateVersions(history: History): Violation[] {
  const groups = sightingsByProcess(history);
  return acceptedPublications(history.publications).flatMap(publication => {
    const due = publication.at + IN_FORCE_LIMIT_MS;
    return groups.flatMap(group => {
      const late = group.find(
        ({at, version}) => at > due && version < publication.version,
      );
      if (late === undefined || isExcused(history, late, publication)) {
        return [];
      }
      const message = `${late.router} is late with version ${publication.version}`;
      const trace = [publication, late];
      return [{guarantee: Guarantee.Configuration, message, trace}];
    });
  });
}

/** Whether a fault kept the router from receiving the publication in time. */
function isExcused(
  {faults}: History,
  late: {router: string; at: number},
  publication: Publication,
): boolean {
  return faults.some(
    ({kind, target, from, to}) =>
      ISOLATING_FAULTS.has(kind) &&
      (target === late.router || !targetsRouter(kind)) &&
      from <= late.at &&
      to + IN_FORCE_LIMIT_MS + SIGHTING_INTERVAL_MS >=
        Math.max(publication.at, late.at),
  );
}

function targetsRouter(kind: FaultKind): boolean {
  return (
    kind === FaultKind.KillRouter ||
    kind === FaultKind.PauseRouter ||
    kind === FaultKind.ReplaceRouter
  );
}
