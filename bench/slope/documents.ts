import {createHash} from 'node:crypto';
import type {ConfigurationDraft} from '../../src/config/index.js';
import {Deployment, exampleOf} from '../deployment.js';

/** A document with one runner and one pool, for fleets of any size. */
export function smallDocument(): ConfigurationDraft {
  const example = exampleOf(Deployment.Nilecoil);
  const pools = example.pools
    .slice(0, 1)
    .map(pool => ({...pool, upstreams: pool.upstreams.slice(0, 1)}));
  return {...example, pools};
}

/** Repeats the one runner of a document under other names. */
export function withRunners(
  document: ConfigurationDraft,
  count: number,
): ConfigurationDraft {
  const pools = document.pools.map(pool => ({
    ...pool,
    upstreams: pool.upstreams.slice(0, 1).flatMap(upstream =>
      Array.from({length: count}, (_, index) => ({
        ...upstream,
        name: `runner-${index}`,
      })),
    ),
  }));
  return {...document, pools};
}

/** Adds workspaces with keys of their own up to a count. */
export function withWorkspaces(
  document: ConfigurationDraft,
  count: number,
): ConfigurationDraft {
  const classes = document.workspaces[0]?.classes ?? [];
  const workspaces = Array.from({length: count}, (_, index) => ({
    name: `workspace-${index}`,
    keys: [{sha256: sha256(`key-${index}`)}],
    classes,
  }));
  return {...document, workspaces};
}

/** The document with a change to one workspace. */
export function withChangedWorkspace(
  document: ConfigurationDraft,
  round: number,
): ConfigurationDraft {
  const workspaces = document.workspaces.map((workspace, index) =>
    index === 0 ? {...workspace, weight: 1 + round / 100} : workspace,
  );
  return {...document, workspaces};
}

function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}
