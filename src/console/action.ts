import {randomBytes} from 'node:crypto';
import {hashKey} from '../config/index.js';
import {listAt, setAt, type Json} from './json.js';

const KEY_BYTES = 24;

/** What a button of an editor's form asks for. */
export type Action =
  | {type: 'check'}
  | {type: 'add'; path: string}
  | {type: 'remove'; path: string}
  /** Makes a key for the workspace at `path`. */
  | {type: 'key'; path: string}
  | {type: 'page'; from: number}
  /** Goes on to another page of the editor with the same draft. */
  | {type: 'edit'; section: string}
  | {type: 'review'};

/** Lists that have items to add and remove, and the items themselves. */
const LIST_PATH =
  /^(classes|workspaces|pools|regions|zones|links)(\.\d+\.(keys|upstreams|models))?$/;
const ITEM_PATH =
  /^(classes|workspaces|pools|regions|zones|links)(\.\d+\.(keys|upstreams|models))?\.\d+$/;
const WORKSPACE_PATH = /^workspaces\.\d+$/;

/** Reads an action; anything malformed only checks the draft. */
export function parseAction(text: string): Action {
  const separator = text.indexOf(':');
  const type = separator === -1 ? text : text.slice(0, separator);
  const value = separator === -1 ? '' : text.slice(separator + 1);
  if (type === 'review') return {type};
  if (type === 'add' && LIST_PATH.test(value)) return {type, path: value};
  if (type === 'remove' && ITEM_PATH.test(value)) return {type, path: value};
  if (type === 'key' && WORKSPACE_PATH.test(value)) return {type, path: value};
  if (type === 'page') return {type, from: Math.max(0, Number(value) || 0)};
  if (type === 'edit') return {type, section: value};
  return {type: 'check'};
}

/** A key just made, which is shown to the operator once. */
export interface NewKey {
  workspacePath: string;
  key: string;
}

/** Changes the document as an action asks; returns a key if one was made. */
export function applyAction(
  action: Action,
  document: Json,
): NewKey | undefined {
  switch (action.type) {
    case 'add':
      appendItem(document, action.path, emptyItem(action.path));
      return undefined;
    case 'remove':
      removeItem(document, action.path);
      return undefined;
    case 'key': {
      const key = randomBytes(KEY_BYTES).toString('base64url');
      appendItem(document, `${action.path}.keys`, {sha256: hashKey(key)});
      return {workspacePath: action.path, key};
    }
    case 'check':
    case 'page':
    case 'edit':
    case 'review':
      return undefined;
  }
}

function appendItem(document: Json, path: string, item: Json): void {
  setAt(document, path, [...listAt(document, path), item]);
}

function removeItem(document: Json, path: string): void {
  const steps = path.split('.');
  const index = Number(steps.pop());
  const list = steps.join('.');
  const items = listAt(document, list).filter((_, at) => at !== index);
  setAt(document, list, items);
}

/** What a new item of a list starts as; its gaps show as problems. */
function emptyItem(path: string): Json {
  switch (path.slice(path.lastIndexOf('.') + 1)) {
    case 'classes':
      return {name: '', tier: 1, targets: {}, limits: {}, repeatable: true};
    case 'workspaces':
      return {name: '', keys: [], classes: [], limits: {}};
    case 'pools':
      return {
        kind: 'runner',
        name: '',
        models: [{name: ''}],
        contract: {state: 'active'},
        upstreams: [{name: '', zone: '', url: ''}],
        leaving: [],
      };
    case 'zones':
      return {name: '', region: ''};
    case 'links':
      return {between: ['', ''], oneWayMs: 1, capacityMbps: 20};
    case 'upstreams':
      return {name: '', zone: '', url: ''};
    default:
      return {name: ''};
  }
}

/**
 * Brings parts of the document in line with choices that other fields depend
 * on: a contract that does not leave has no end, and a pool has the fields of
 * its kind only.
 */
export function normalizeDocument(document: Json): void {
  listAt(document, 'pools').forEach((pool, index) => {
    const path = `pools.${index}`;
    if (typeof pool !== 'object' || pool === null || Array.isArray(pool)) {
      return;
    }
    const contract = pool['contract'];
    if (
      typeof contract === 'object' &&
      contract !== null &&
      !Array.isArray(contract) &&
      contract['state'] !== 'leaving'
    ) {
      setAt(document, `${path}.contract.endsAt`, undefined);
    }
    if (pool['kind'] === 'service') {
      setAt(document, `${path}.models`, undefined);
    } else {
      setAt(document, `${path}.service`, undefined);
      setAt(document, `${path}.notRepeatable`, undefined);
      if (pool['models'] === undefined) {
        setAt(document, `${path}.models`, [{name: ''}]);
      }
    }
  });
}
