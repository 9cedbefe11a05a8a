import {randomBytes} from 'node:crypto';
import {hashKey} from '../config/index.js';
import {listAt, setAt, type Json} from './json.js';

const API_KEY_BYTES = 24;

/** The action of a submit button on an editor form. */
export type Action =
  | {type: 'check'}
  | {type: 'add'; path: string}
  | {type: 'remove'; path: string}
  /** Generates an API key for the workspace at `path`. */
  | {type: 'key'; path: string}
  /** Shows the page of items that starts at index `from`. */
  | {type: 'page'; from: number}
  /** Opens another section of the editor with the same draft. */
  | {type: 'edit'; section: string}
  | {type: 'review'};

/** Paths of the lists that the editor can add items to. */
const LIST_PATH =
  /^(classes|workspaces|pools|regions|zones|links)(\.\d+\.(keys|upstreams|models))?$/;
/** Paths of the list items that the editor can remove. */
const ITEM_PATH =
  /^(classes|workspaces|pools|regions|zones|links)(\.\d+\.(keys|upstreams|models))?\.\d+$/;
const WORKSPACE_PATH = /^workspaces\.\d+$/;

/** Parses an action; malformed text is treated as a `check` action. */
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

/** A newly generated API key; the operator sees its text only once. */
export interface NewKey {
  workspacePath: string;
  key: string;
}

/** Applies an action to the document in place; returns any generated key. */
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
      const key = randomBytes(API_KEY_BYTES).toString('base64url');
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
  const listPath = steps.join('.');
  const items = listAt(document, listPath).filter(
    (_, itemIndex) => itemIndex !== index,
  );
  setAt(document, listPath, items);
}

/**
 * Returns the initial value of a new item for the list at `path`. Validation
 * reports its empty fields as problems.
 */
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
 * Removes fields that no longer apply after another field was edited: the end
 * of a contract whose state is not `leaving`, and the fields of the other pool
 * kind. A runner pool without models gets one empty model.
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
