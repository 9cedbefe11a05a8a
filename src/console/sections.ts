import type {Field, FieldKind} from './field.js';
import {html} from '../markup/index.js';
import {listAt, textOf, valueAt, type Json} from './json.js';
import {actionButton, type ItemList, type Section} from './itemlist.js';

const TEXT: FieldKind = {type: 'text'};
const NUMBER: FieldKind = {type: 'number'};
const CHECK: FieldKind = {type: 'check'};

const ITEMS_PER_PAGE = 200;
const WORKSPACES_PER_PAGE = 20;
const POOLS_PER_PAGE = 5;
/** Characters of a key's SHA-256 that are shown to identify the key. */
const KEY_HASH_PREFIX_LENGTH = 12;

function itemNames(document: Json, path: string): string[] {
  return listAt(document, path).map((_, index) =>
    textOf(valueAt(document, `${path}.${index}.name`)),
  );
}

function field(
  path: string,
  label: string,
  kind: FieldKind,
  hint?: string,
): Field {
  return {path, label, kind, ...(hint === undefined ? {} : {hint})};
}

function limitFields(path: string): Field[] {
  return [
    field(`${path}.limits.concurrent`, 'Maximum running requests', NUMBER),
    field(
      `${path}.limits.queued`,
      'Maximum queued requests per instance',
      NUMBER,
    ),
    field(
      `${path}.limits.requestsPerSecond`,
      'Maximum requests per second',
      NUMBER,
    ),
  ];
}

const classes: ItemList = {
  path: 'classes',
  title: 'Service classes',
  noun: 'class',
  pageSize: ITEMS_PER_PAGE,
  fields: path => [
    field(`${path}.name`, 'Name', TEXT),
    field(`${path}.tier`, 'Tier', NUMBER, '0 is the highest, 6 the lowest'),
    field(`${path}.targets.firstTokenMs`, 'First token within (ms)', NUMBER),
    field(`${path}.targets.betweenTokensMs`, 'Between tokens (ms)', NUMBER),
    field(`${path}.targets.completionMs`, 'Completed within (ms)', NUMBER),
    field(`${path}.targets.doneBy`, 'Done by (UTC)', TEXT, 'such as 05:30'),
    field(
      `${path}.objective`,
      'Objective',
      NUMBER,
      'share that must meet the targets, such as 0.95',
    ),
    field(
      `${path}.floorShare`,
      'Floor share',
      NUMBER,
      'minimum share of capacity for the class',
    ),
    ...limitFields(path),
    field(`${path}.deadlineMs`, 'Default deadline (ms)', NUMBER),
    field(`${path}.firstByteMs`, 'First byte within (ms)', NUMBER),
    field(`${path}.idleMs`, 'Idle timeout (ms)', NUMBER),
    field(`${path}.repeatable`, 'Repeatable', CHECK),
  ],
};

const workspaces: ItemList = {
  path: 'workspaces',
  title: 'Workspaces',
  noun: 'workspace',
  pageSize: WORKSPACES_PER_PAGE,
  fields: (path, document) => {
    const names = itemNames(document, 'classes');
    const choice: FieldKind = {type: 'choice', options: names, optional: true};
    return [
      field(`${path}.name`, 'Name', TEXT),
      field(`${path}.defaultClass`, 'Default class', choice),
      field(`${path}.weight`, 'Weight in fair sharing', NUMBER),
      ...limitFields(path),
      field(`${path}.classes`, 'Allowed classes', {
        type: 'set',
        options: names,
      }),
    ];
  },
  renderExtra: (path, document) => {
    const keys = listAt(document, `${path}.keys`).map((_, index) => {
      const keyPath = `${path}.keys.${index}`;
      const hash = textOf(valueAt(document, `${keyPath}.sha256`));
      const label = `Remove key ${hash.slice(0, KEY_HASH_PREFIX_LENGTH)}`;
      return html`<li>
        <code>${hash.slice(0, KEY_HASH_PREFIX_LENGTH)}…</code>
        ${actionButton(`remove:${keyPath}`, label, 'remove')}
      </li>`;
    });
    return html`<fieldset>
      <legend>Keys, by the start of their SHA-256</legend>
      <ul>
        ${keys}
      </ul>
      <p class="actions">
        ${actionButton(`key:${path}`, 'Generate a key', 'quiet')}
      </p>
    </fieldset>`;
  },
};

const pools: ItemList = {
  path: 'pools',
  title: 'Pools',
  noun: 'pool',
  pageSize: POOLS_PER_PAGE,
  fields: (path, document) => {
    const isService = valueAt(document, `${path}.kind`) === 'service';
    const service = [
      field(`${path}.service`, 'Service name in paths', TEXT),
      field(
        `${path}.notRepeatable`,
        'Paths that are not repeatable',
        {type: 'texts'},
        'prefixes, separated by commas',
      ),
    ];
    return [
      field(`${path}.name`, 'Name', TEXT),
      field(`${path}.kind`, 'Kind', {
        type: 'choice',
        options: ['runner', 'service'],
      }),
      ...(isService ? service : []),
      field(`${path}.contract.state`, 'Contract', {
        type: 'choice',
        options: ['active', 'leaving', 'ended'],
      }),
      field(
        `${path}.contract.endsAt`,
        'Contract ends at (UTC)',
        TEXT,
        'only while leaving, such as 2026-12-31T18:00:00Z',
      ),
      field(`${path}.fencing`, 'Stale fencing numbers', {
        type: 'choice',
        options: ['enforced', 'ignored', 'none'],
      }),
      field(`${path}.checksSender`, 'Checks sender', CHECK),
      field(
        `${path}.leaving`,
        'Upstreams that are leaving',
        {type: 'set', options: itemNames(document, `${path}.upstreams`)},
        'they get no new requests and finish running ones',
      ),
    ];
  },
  nestedLists: (path, document) => {
    const models = {
      path: `${path}.models`,
      title: 'Models',
      noun: 'model',
      fields: (modelPath: string) => [
        field(`${modelPath}.name`, 'Name', TEXT),
        field(`${modelPath}.version`, 'Version', TEXT),
        field(`${modelPath}.adapters`, 'Adapters', {type: 'texts'}),
        field(`${modelPath}.copies`, 'Minimum runners that hold it', NUMBER),
      ],
    };
    const upstreams = {
      path: `${path}.upstreams`,
      title: 'Upstreams',
      noun: 'upstream',
      fields: (upstreamPath: string) => [
        field(`${upstreamPath}.name`, 'Name', TEXT),
        field(`${upstreamPath}.zone`, 'Zone', {
          type: 'choice',
          options: itemNames(document, 'zones'),
        }),
        field(`${upstreamPath}.url`, 'URL', TEXT),
      ],
    };
    const isService = valueAt(document, `${path}.kind`) === 'service';
    return isService ? [upstreams] : [models, upstreams];
  },
};

const regions: ItemList = {
  path: 'regions',
  title: 'Regions',
  noun: 'region',
  pageSize: ITEMS_PER_PAGE,
  fields: path => [field(`${path}.name`, 'Name', TEXT)],
};

const zones: ItemList = {
  path: 'zones',
  title: 'Availability zones',
  noun: 'zone',
  pageSize: ITEMS_PER_PAGE,
  fields: (path, document) => [
    field(`${path}.name`, 'Name', TEXT),
    field(`${path}.region`, 'Region', {
      type: 'choice',
      options: itemNames(document, 'regions'),
    }),
  ],
};

const links: ItemList = {
  path: 'links',
  title: 'Links between regions',
  noun: 'link',
  pageSize: ITEMS_PER_PAGE,
  fields: (path, document) => {
    const region: FieldKind = {
      type: 'choice',
      options: itemNames(document, 'regions'),
    };
    return [
      field(`${path}.between.0`, 'From region', region),
      field(`${path}.between.1`, 'To region', region),
      field(`${path}.oneWayMs`, 'One-way latency (ms)', NUMBER),
      field(`${path}.capacityMbps`, 'Capacity (Mbit/s)', NUMBER),
      field(`${path}.share`, 'Share for requests', NUMBER, 'from 0 to 1'),
      field(`${path}.pricePerGb`, 'Price per GB', NUMBER),
    ];
  },
};

/** The sections of the editor, in the order of their buttons. */
export const SECTIONS: readonly Section[] = [
  {
    name: 'classes',
    title: 'Classes and priorities',
    introduction:
      'A class sets latency targets and a priority tier. No request of a ' +
      'higher tier is shed in favour of a lower one.',
    lists: [classes],
  },
  {
    name: 'workspaces',
    title: 'Workspaces and keys',
    introduction:
      'A workspace is a customer. A key is shown once, when it is generated; ' +
      'the document holds only its hash.',
    lists: [workspaces],
  },
  {
    name: 'pools',
    title: 'Pools and their upstreams',
    introduction:
      'Upstreams marked as leaving, and pools whose contract is not active, ' +
      'get no new requests.',
    lists: [pools],
  },
  {
    name: 'places',
    title: 'Zones and links',
    introduction:
      'Regions contain availability zones. Links between regions are billed ' +
      'by volume.',
    lists: [regions, zones, links],
  },
];

/** Returns the editor section with a name, or undefined if there is none. */
export function findSection(name: string): Section | undefined {
  return SECTIONS.find(section => section.name === name);
}
