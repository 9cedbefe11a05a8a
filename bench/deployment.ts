import {readFileSync} from 'node:fs';
import {join} from 'node:path';
import {packageRoot} from '../src/cli/packageroot.js';
import type {ConfigurationDraft} from '../src/config/index.js';

/** Deployments that the examples describe. */
export enum Deployment {
  Nilecoil = 'nilecoil',
  Hraunvik = 'hraunvik',
}

/** The URL at which each upstream of a document is to be reached. */
export type UrlOf = (upstream: string, kind: 'runner' | 'service') => string;

/** Returns the example document of a deployment. */
export function exampleOf(deployment: Deployment): ConfigurationDraft {
  const file = join(packageRoot(), 'examples', `${deployment}.json`);
  return JSON.parse(readFileSync(file, 'utf8')) as ConfigurationDraft;
}

/** Replaces the URL of every upstream of a document. */
export function withUpstreamUrls(
  document: ConfigurationDraft,
  urlOf: UrlOf,
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

/** The workspace key that the examples give a workspace. */
export function demoKey(workspace: string): string {
  return `demo-key-${workspace}`;
}
