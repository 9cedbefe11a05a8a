import type {ConfigurationDraft} from '../../src/config/index.js';

/** Returns a small valid document with the number in its name. */
export function documentOf(number: number): ConfigurationDraft {
  return {
    format: 1,
    name: `document-${number}`,
    regions: [{name: 'delta'}],
    zones: [{name: 'delta-a', region: 'delta'}],
    classes: [{name: 'chat', tier: 0, targets: {firstTokenMs: 300}}],
    workspaces: [workspaceOf(0)],
    pools: [
      {
        kind: 'runner',
        name: 'runners',
        models: [{name: 'tube-7b'}],
        upstreams: [
          {name: 'runner-1', zone: 'delta-a', url: 'http://10.0.0.1:80'},
        ],
      },
    ],
  };
}

/** Returns a workspace with a key hash derived from the index. */
export function workspaceOf(index: number) {
  const sha256 = index.toString(16).padStart(64, '0');
  return {name: `workspace-${index}`, keys: [{sha256}], classes: ['chat']};
}
