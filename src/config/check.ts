import {err, ok, type Result} from 'neverthrow';
import {documentSchema, type Configuration} from './document.js';

/** One error in a document: where it is and what is wrong. */
export interface Problem {
  /** Path of the value, such as `pools.0.upstreams.2.zone`. */
  path: string;
  reason: string;
}

/** A document is invalid. Lists every problem found, not only the first. */
export interface InvalidDocument {
  type: 'invalidDocument';
  problems: Problem[];
}

function findDuplicates(
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

function checkReference(
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

function checkTopology(document: Configuration): Problem[] {
  const regions = namesOf(document.regions);
  const problems = [
    ...findDuplicates('regions', document.regions),
    ...findDuplicates('zones', document.zones),
  ];
  document.zones.forEach((zone, index) => {
    const path = `zones.${index}.region`;
    problems.push(...checkReference(path, 'region', zone.region, regions));
  });
  document.links.forEach((link, index) => {
    link.between.forEach((region, endIndex) => {
      const path = `links.${index}.between.${endIndex}`;
      problems.push(...checkReference(path, 'region', region, regions));
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
  const problems = findDuplicates('classes', document.classes);
  const floorShareSum = document.classes.reduce(
    (sum, c) => sum + c.floorShare,
    0,
  );
  if (floorShareSum > 1) {
    problems.push({
      path: 'classes',
      reason: `floor shares add up to ${floorShareSum.toFixed(2)}, more than 1`,
    });
  }
  return problems;
}

function checkWorkspaces(document: Configuration): Problem[] {
  const classes = namesOf(document.classes);
  const workspacesByKey = new Map<string, string>();
  const problems = findDuplicates('workspaces', document.workspaces);
  document.workspaces.forEach((workspace, index) => {
    const path = `workspaces.${index}`;
    workspace.classes.forEach((name, classIndex) => {
      problems.push(
        ...checkReference(
          `${path}.classes.${classIndex}`,
          'class',
          name,
          classes,
        ),
      );
    });
    const defaultClass = workspace.defaultClass;
    if (
      defaultClass !== undefined &&
      !workspace.classes.includes(defaultClass)
    ) {
      problems.push({
        path: `${path}.defaultClass`,
        reason: `"${defaultClass}" is not among the workspace's classes`,
      });
    }
    workspace.keys.forEach((key, keyIndex) => {
      const owner = workspacesByKey.get(key.sha256);
      if (owner !== undefined) {
        problems.push({
          path: `${path}.keys.${keyIndex}.sha256`,
          reason: `the key already belongs to workspace "${owner}"`,
        });
      }
      workspacesByKey.set(key.sha256, workspace.name);
    });
  });
  return problems;
}

function checkPools(document: Configuration): Problem[] {
  const zones = namesOf(document.zones);
  const problems = findDuplicates('pools', document.pools);
  const poolsByUpstream = new Map<string, string>();
  document.pools.forEach((pool, index) => {
    const path = `pools.${index}`;
    pool.upstreams.forEach((upstream, upstreamIndex) => {
      const upstreamPath = `${path}.upstreams.${upstreamIndex}`;
      problems.push(
        ...checkReference(`${upstreamPath}.zone`, 'zone', upstream.zone, zones),
      );
      const otherPool = poolsByUpstream.get(upstream.name);
      if (otherPool !== undefined) {
        problems.push({
          path: `${upstreamPath}.name`,
          reason: `"${upstream.name}" is already an upstream of pool "${otherPool}"`,
        });
      }
      poolsByUpstream.set(upstream.name, pool.name);
    });
    const upstreamNames = namesOf(pool.upstreams);
    pool.leaving.forEach((name, leavingIndex) => {
      problems.push(
        ...checkReference(
          `${path}.leaving.${leavingIndex}`,
          'upstream',
          name,
          upstreamNames,
        ),
      );
    });
  });
  return problems;
}

/**
 * Validates a document against the schema and then checks its
 * cross-references. Returns the document with every default filled in, or all
 * problems of the check that failed.
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
    ...checkTopology(parsed.data),
    ...checkClasses(parsed.data),
    ...checkWorkspaces(parsed.data),
    ...checkPools(parsed.data),
  ];
  if (problems.length > 0) return err({type: 'invalidDocument', problems});
  return ok(parsed.data);
}
