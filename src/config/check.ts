import {err, ok, type Result} from 'neverthrow';
import {documentSchema, type Configuration} from './document.js';

/** One fault of a document: where it is and what is wrong with it. */
export interface Problem {
  /** Path of the value, such as `pools.0.upstreams.2.zone`. */
  path: string;
  reason: string;
}

/** A document was refused. Carries every problem found, not the first only. */
export interface InvalidDocument {
  type: 'invalidDocument';
  problems: Problem[];
}

function duplicates(
  path: string,
  items: ReadonlyArray<{name: string}>,
): Problem[] {
  const seen = new Set<string>();
  const problems: Problem[] = [];
  items.forEach((item, index) => {
    if (seen.has(item.name)) {
      problems.push({
        path: `${path}.${index}.name`,
        reason: `"${item.name}" is used twice`,
      });
    }
    seen.add(item.name);
  });
  return problems;
}

function unknown(
  path: string,
  kind: string,
  name: string,
  names: ReadonlySet<string>,
): Problem[] {
  if (names.has(name)) return [];
  return [{path, reason: `there is no ${kind} "${name}"`}];
}

function namesOf(items: ReadonlyArray<{name: string}>): Set<string> {
  return new Set(items.map(item => item.name));
}

function checkPlaces(document: Configuration): Problem[] {
  const regions = namesOf(document.regions);
  const problems = [
    ...duplicates('regions', document.regions),
    ...duplicates('zones', document.zones),
  ];
  document.zones.forEach((zone, index) => {
    const path = `zones.${index}.region`;
    problems.push(...unknown(path, 'region', zone.region, regions));
  });
  document.links.forEach((link, index) => {
    link.between.forEach((region, end) => {
      const path = `links.${index}.between.${end}`;
      problems.push(...unknown(path, 'region', region, regions));
    });
    if (link.between[0] === link.between[1]) {
      problems.push({
        path: `links.${index}.between`,
        reason: 'a link joins two different regions',
      });
    }
  });
  return problems;
}

function checkClasses(document: Configuration): Problem[] {
  const problems = duplicates('classes', document.classes);
  const floors = document.classes.reduce((sum, c) => sum + c.floorShare, 0);
  if (floors > 1) {
    problems.push({
      path: 'classes',
      reason: `floor shares add up to ${floors.toFixed(2)}, more than 1`,
    });
  }
  return problems;
}

function checkWorkspaces(document: Configuration): Problem[] {
  const classes = namesOf(document.classes);
  const owners = new Map<string, string>();
  const problems = duplicates('workspaces', document.workspaces);
  document.workspaces.forEach((workspace, index) => {
    const path = `workspaces.${index}`;
    workspace.classes.forEach((name, at) => {
      problems.push(
        ...unknown(`${path}.classes.${at}`, 'class', name, classes),
      );
    });
    const fallback = workspace.defaultClass;
    if (fallback !== undefined && !workspace.classes.includes(fallback)) {
      problems.push({
        path: `${path}.defaultClass`,
        reason: `"${fallback}" is not among the workspace's classes`,
      });
    }
    workspace.keys.forEach((key, at) => {
      const owner = owners.get(key.sha256);
      if (owner !== undefined) {
        problems.push({
          path: `${path}.keys.${at}.sha256`,
          reason: `the key already belongs to workspace "${owner}"`,
        });
      }
      owners.set(key.sha256, workspace.name);
    });
  });
  return problems;
}

function checkPools(document: Configuration): Problem[] {
  const zones = namesOf(document.zones);
  const problems = duplicates('pools', document.pools);
  const owners = new Map<string, string>();
  document.pools.forEach((pool, index) => {
    const path = `pools.${index}`;
    pool.upstreams.forEach((upstream, at) => {
      const place = `${path}.upstreams.${at}`;
      problems.push(...unknown(`${place}.zone`, 'zone', upstream.zone, zones));
      const owner = owners.get(upstream.name);
      if (owner !== undefined) {
        problems.push({
          path: `${place}.name`,
          reason: `"${upstream.name}" is already an upstream of pool "${owner}"`,
        });
      }
      owners.set(upstream.name, pool.name);
    });
    const members = namesOf(pool.upstreams);
    pool.leaving.forEach((name, at) => {
      problems.push(
        ...unknown(`${path}.leaving.${at}`, 'upstream', name, members),
      );
    });
  });
  return problems;
}

/**
 * Validates a document against the schema and its cross-references. Either
 * returns the document with every default filled in, or all problems at once.
 */
export function checkDocument(
  candidate: unknown,
): Result<Configuration, InvalidDocument> {
  const parsed = documentSchema.safeParse(candidate);
  if (!parsed.success) {
    const problems = parsed.error.issues.map(issue => ({
      path: issue.path.join('.'),
      reason: issue.message,
    }));
    return err({type: 'invalidDocument', problems});
  }
  const problems = [
    ...checkPlaces(parsed.data),
    ...checkClasses(parsed.data),
    ...checkWorkspaces(parsed.data),
    ...checkPools(parsed.data),
  ];
  if (problems.length > 0) return err({type: 'invalidDocument', problems});
  return ok(parsed.data);
}
