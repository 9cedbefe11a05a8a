import {FaultKind, type History, type Publication} from '../history.js';
import {Guarantee, type Violation} from './violation.js';

/** Time in which an accepted configuration is in force everywhere, in ms. */
const IN_FORCE_LIMIT_MS = 6_000;
/** Time between two looks at a router, with some reserve, in ms. */
const SIGHTING_INTERVAL_MS = 600;
/** Faults during which a router can't learn of a configuration. */
const ISOLATING_FAULTS = new Set([
  FaultKind.KillRouter,
  FaultKind.PauseRouter,
  FaultKind.ReplaceRouter,
  FaultKind.LogOutage,
  FaultKind.SilentLog,
  FaultKind.RegionCut,
  FaultKind.StaleReads,
]);

/** Checks that configurations come into force in time and never go back. */
export function checkConfiguration(history: History): Violation[] {
  return [...findRollbacks(history), ...findLateVersions(history)];
}

/** Sightings of one router process, in order. */
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
        const message = `${sighting.router} went back to an older version`;
        const trace = [highest, sighting];
        return [{promise: Guarantee.Configuration, message, trace}];
      }
      highest = sighting;
    }
    return [];
  });
}

/** Publications that win: each is based on the accepted one before it. */
export function acceptedPublications(
  publications: readonly Publication[],
): Publication[] {
  const ordered = [...publications].sort((a, b) => a.version - b.version);
  const winners: Publication[] = [];
  for (const publication of ordered) {
    const last = winners.at(-1);
    if (last === undefined || publication.base === last.version) {
      winners.push(publication);
    }
  }
  return winners;
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
      const message = `${late.router} is late with ${publication.version}`;
      const trace = [publication, late];
      return [{promise: Guarantee.Configuration, message, trace}];
    });
  });
}

/** Whether a fault kept the router from learning of it for part of the time. */
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
