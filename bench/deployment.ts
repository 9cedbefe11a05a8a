import {readFileSync} from 'node:fs';
import {join} from 'node:path';
import {packageRoot} from '../src/cli/packageroot.js';
import type {ConfigurationDraft} from '../src/config/index.js';

/** Deployments with a configuration document in `examples/`. */
export enum Deployment {
  Nilecoil = 'nilecoil',
  Hraunvik = 'hraunvik',
}

/** Returns the URL at which an upstream is reached. */
export type UpstreamUrlResolver = (
  upstream: string,
  kind: 'runner' | 'service',
) => string;

/** Reads the example document of a deployment. */
export function exampleOf(deployment: Deployment): ConfigurationDraft {
  const file = join(packageRoot(), 'examples', `${deployment}.json`);
  return JSON.parse(readFileSync(file, 'utf8')) as ConfigurationDraft;
}

/** Returns the document with the URL of every upstream replaced. */
export function withUpstreamUrls(
  document: ConfigurationDraft,
  urlOf: UpstreamUrlResolver,
): ConfigurationDraft {
  const pools = document.pools.map(pool => ({
    ...pool,
    upstreams: pool.upstreams.map(upstream => ({
      ...upstream,
      url: urlOf(upstream.name, pool.kind),
    })),
  }));
  return {...document, pools};
}

/** Returns the API key that the example documents give a workspace. */
export function demoKey(workspace: string): string {
  return `demo-key-${workspace}`;
}
