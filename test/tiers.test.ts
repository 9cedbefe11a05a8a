import {expect, test} from 'vitest';
import {decodeConfiguration} from '../platform/configuration.js';
import {RoutingTable} from '../src/route/table.js';
import {wireConfiguration} from './support/gateway.js';

/** Table with routes of priority 0 to 2 and workspaces of some priorities. */
function tableWith(priorities: Array<number | null>): RoutingTable {
  const configuration = wireConfiguration(1);
  const document = decodeConfiguration({
    key: 'config',
    offset: 0,
    value: Buffer.from(
      JSON.stringify({
        ...configuration,
        routes: configuration.routes.map((route, priority) => ({
          ...route,
          service: 'engine',
          priority,
        })),
        tenants: priorities.map((priority, index) => ({
          name: `shop-${index}`,
          apiKeys: [`key-${index}`],
          priority,
        })),
      }),
    ),
  });
  if (document === undefined || 'reason' in document) expect.unreachable();
  return new RoutingTable(document);
}

function tiersOf(table: RoutingTable): Record<string, number[]> {
  const {routes, workspaces = []} = table.document;
  return Object.fromEntries(
    workspaces.map(workspace => [
      `${workspace.name} of priority ${workspace.priority ?? 'none'}`,
      routes.map(route => table.tierOf(route, workspace)),
    ]),
  );
}

test('among requests of equal workspaces, the priority of the route decides', () => {
  const table = tableWith([1, 1, 0, null]);
  expect(tiersOf(table)).toMatchInlineSnapshot(`
    {
      "shop-0 of priority 1": [
        3,
        4,
        5,
      ],
      "shop-1 of priority 1": [
        3,
        4,
        5,
      ],
      "shop-2 of priority 0": [
        0,
        1,
        2,
      ],
      "shop-3 of priority none": [
        0,
        4,
        6,
      ],
    }
  `);
  expect(table.lowestTierOf('engine')).toMatchInlineSnapshot(`6`);
});

test('without priorities of workspaces, tiers are those of the routes', () => {
  const table = tableWith([null]);
  expect(tiersOf(table)).toEqual({'shop-0 of priority none': [0, 1, 2]});
  expect(table.lowestTierOf('engine')).toBe(2);
});
