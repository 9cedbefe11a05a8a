import {FaultKind, type History, type Publication} from '../history.js';
import {PromiseKind, type Violation} from './violation.js';

/** Time in which an accepted configuration is in force everywhere, in ms. */
const IN_FORCE_MS = 6_000;
/** Time between two looks at a router, with some reserve, in ms. */
const SIGHTING_MS = 600;
/** Faults during which a router can't learn of a configuration. */
const ISOLATING = new Set([
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
  return [...reversals(history), ...delays(history)];
}

/** Sightings of one router process, in order. */
function byProcess({sightings}: History) {
  const groups = new Map<string, History['sightings']>();
  for (const sighting of sightings) {
    const name = `${sighting.router} ${sighting.process}`;
    const group = groups.get(name) ?? [];
    group.push(sighting);
    groups.set(name, group);
  }
  return [...groups.values()];
}

function reversals(history: History): Violation[] {
  return byProcess(history).flatMap(group => {
    let highest = group[0];
    for (const sighting of group) {
      if (highest !== undefined && sighting.version < highest.version) {
        const message = `${sighting.router} went back to an older version`;
        const trace = [highest, sighting];
        return [{promise: PromiseKind.Configuration, message, trace}];
      }
      highest = sighting;
    }
    return [];
  });
}

/** Publications that win: each is based on the accepted one before it. */
export function accepted(publications: readonly Publication[]): Publication[] {
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

function delays(history: History): Violation[] {
  const groups = byProcess(history);
  return accepted(history.publications).flatMap(publication => {
    const due = publication.at + IN_FORCE_MS;
    return groups.flatMap(group => {
      const late = group.find(
        ({at, version}) => at > due && version < publication.version,
      );
      if (late === undefined || isExcused(history, late, publication)) {
        return [];
      }
      const message = `${late.router} is late with ${publication.version}`;
      const trace = [publication, late];
      return [{promise: PromiseKind.Configuration, message, trace}];
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
      ISOLATING.has(kind) &&
      (target === late.router || !isRouter(kind)) &&
      from <= late.at &&
      to + IN_FORCE_MS + SIGHTING_MS >= Math.max(publication.at, late.at),
  );
}

function isRouter(kind: FaultKind): boolean {
  return (
    kind === FaultKind.KillRouter ||
    kind === FaultKind.PauseRouter ||
    kind === FaultKind.ReplaceRouter
  );
}
