import {createHash} from 'node:crypto';
import type {ConfigurationDraft} from '../../src/config/index.js';
import {Deployment, exampleOf} from '../deployment.js';

/** The example document, reduced to one pool with one runner. */
export function smallDocument(): ConfigurationDraft {
  const example = exampleOf(Deployment.Nilecoil);
  const pools = example.pools
    .slice(0, 1)
    .map(pool => ({...pool, upstreams: pool.upstreams.slice(0, 1)}));
  return {...example, pools};
}

/** Replaces the runners of each pool by `count` copies of the first one. */
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

/** Replaces the workspaces by `count` generated ones, each with its own key. */
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

/** Changes the weight of the first workspace; each number gives another one. */
export function withChangedWorkspace(
  document: ConfigurationDraft,
  changeNumber: number,
): ConfigurationDraft {
  const workspaces = document.workspaces.map((workspace, index) =>
    index === 0 ? {...workspace, weight: 1 + changeNumber / 100} : workspace,
  );
  return {...document, workspaces};
}

function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}
