import type {Field, FieldKind} from './field.js';
import {html} from '../markup/index.js';
import {listAt, textOf, valueAt, type Json} from './json.js';
import {actionButton, type ItemList, type Section} from './itemlist.js';

const TEXT: FieldKind = {type: 'text'};
const NUMBER: FieldKind = {type: 'number'};
const CHECK: FieldKind = {type: 'check'};

const ALL_ON_ONE_PAGE = 200;
const WORKSPACES_PER_PAGE = 20;
const POOLS_PER_PAGE = 5;
/** Characters of a key's hash that tell keys apart. */
const HASH_PREFIX = 12;

function namesAt(document: Json, path: string): string[] {
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
    field(`${path}.limits.concurrent`, 'Most running at once', NUMBER),
    field(`${path}.limits.queued`, 'Most waiting per instance', NUMBER),
    field(`${path}.limits.requestsPerSecond`, 'Most requests a second', NUMBER),
  ];
}

const classes: ItemList = {
  path: 'classes',
  title: 'Service classes',
  noun: 'class',
  pageSize: ALL_ON_ONE_PAGE,
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
      'share of capacity that the class always gets',
    ),
    ...limitFields(path),
    field(`${path}.deadlineMs`, 'Longest request (ms)', NUMBER),
    field(`${path}.firstByteMs`, 'First byte within (ms)', NUMBER),
    field(`${path}.idleMs`, 'Silence at most (ms)', NUMBER),
    field(`${path}.repeatable`, 'Repeatable', CHECK),
  ],
};

const workspaces: ItemList = {
  path: 'workspaces',
  title: 'Workspaces',
  noun: 'workspace',
  pageSize: WORKSPACES_PER_PAGE,
  fields: (path, document) => {
    const names = namesAt(document, 'classes');
    const choice: FieldKind = {type: 'choice', options: names, optional: true};
    return [
      field(`${path}.name`, 'Name', TEXT),
      field(`${path}.defaultClass`, 'Class if none is named', choice),
      field(`${path}.weight`, 'Weight in fair sharing', NUMBER),
      ...limitFields(path),
      field(`${path}.classes`, 'Classes it may use', {
        type: 'set',
        options: names,
      }),
    ];
  },
  renderExtra: (path, document) => {
    const keys = listAt(document, `${path}.keys`).map((_, index) => {
      const at = `${path}.keys.${index}`;
      const hash = textOf(valueAt(document, `${at}.sha256`));
      const label = `Remove key ${hash.slice(0, HASH_PREFIX)}`;
      return html`<li>
        <code>${hash.slice(0, HASH_PREFIX)}…</code>
        ${actionButton(`remove:${at}`, label, 'remove')}
      </li>`;
    });
    return html`<fieldset>
      <legend>Keys, by the start of their SHA-256</legend>
      <ul>
        ${keys}
      </ul>
      <p class="actions">
        ${actionButton(`key:${path}`, 'Make a new key', 'quiet')}
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
        'Paths not to be repeated',
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
      field(`${path}.fencing`, 'Old fencing numbers', {
        type: 'choice',
        options: ['enforced', 'ignored', 'none'],
      }),
      field(`${path}.checksSender`, 'Checks sender', CHECK),
      field(
        `${path}.leaving`,
        'Upstreams that are leaving',
        {type: 'set', options: namesAt(document, `${path}.upstreams`)},
        'they get no new work and finish what runs',
      ),
    ];
  },
  nestedLists: (path, document) => {
    const models = {
      path: `${path}.models`,
      title: 'Models',
      noun: 'model',
      fields: (at: string) => [
        field(`${at}.name`, 'Name', TEXT),
        field(`${at}.version`, 'Version', TEXT),
        field(`${at}.adapters`, 'Adapters', {type: 'texts'}),
        field(`${at}.copies`, 'Fewest runners that hold it', NUMBER),
      ],
    };
    const upstreams = {
      path: `${path}.upstreams`,
      title: 'Upstreams',
      noun: 'upstream',
      fields: (at: string) => [
        field(`${at}.name`, 'Name', TEXT),
        field(`${at}.zone`, 'Zone', {
          type: 'choice',
          options: namesAt(document, 'zones'),
        }),
        field(`${at}.url`, 'URL', TEXT),
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
  pageSize: ALL_ON_ONE_PAGE,
  fields: path => [field(`${path}.name`, 'Name', TEXT)],
};

const zones: ItemList = {
  path: 'zones',
  title: 'Availability zones',
  noun: 'zone',
  pageSize: ALL_ON_ONE_PAGE,
  fields: (path, document) => [
    field(`${path}.name`, 'Name', TEXT),
    field(`${path}.region`, 'Region', {
      type: 'choice',
      options: namesAt(document, 'regions'),
    }),
  ],
};

const links: ItemList = {
  path: 'links',
  title: 'Links between regions',
  noun: 'link',
  pageSize: ALL_ON_ONE_PAGE,
  fields: (path, document) => {
    const region: FieldKind = {
      type: 'choice',
      options: namesAt(document, 'regions'),
    };
    return [
      field(`${path}.between.0`, 'From region', region),
      field(`${path}.between.1`, 'To region', region),
      field(`${path}.oneWayMs`, 'One-way latency (ms)', NUMBER),
      field(`${path}.capacityMbps`, 'Capacity (Mbit/s)', NUMBER),
      field(`${path}.share`, 'Share for requests', NUMBER, 'from 0 to 1'),
      field(`${path}.pricePerGb`, 'Price of a GB', NUMBER),
    ];
  },
};

/** The pages of the editor. */
export const SECTIONS: readonly Section[] = [
  {
    name: 'classes',
    title: 'Classes and priorities',
    introduction:
      'A class is a contract on latency with a tier of priority. No request ' +
      'of a higher tier is shed in favour of a lower one.',
    lists: [classes],
  },
  {
    name: 'workspaces',
    title: 'Workspaces and keys',
    introduction:
      'A workspace is a customer. Keys are shown once, when they are made; ' +
      'the document holds their hashes only.',
    lists: [workspaces],
  },
  {
    name: 'pools',
    title: 'Pools and their upstreams',
    introduction:
      'Upstreams marked as leaving, and pools whose contract is not active, ' +
      'get no new work.',
    lists: [pools],
  },
  {
    name: 'places',
    title: 'Zones and links',
    introduction:
      'Regions hold availability zones. Links between regions are paid by ' +
      'volume.',
    lists: [regions, zones, links],
  },
];

/** Returns the page of the editor with a name. */
export function findSection(name: string): Section | undefined {
  return SECTIONS.find(section => section.name === name);
}
