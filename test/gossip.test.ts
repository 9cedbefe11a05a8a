import {describe, expect, it} from 'vitest';
import {GossipQueue, retransmitLimit} from '../src/instance/gossipqueue.js';
import {MemberState} from '../src/instance/index.js';

const recordOf = (index: number) => ({
  name: `router-${index}`,
  incarnation: 1_796_000_000_000,
  state: MemberState.Alive,
  zone: 'delta-a',
  host: `10.0.0.${index}`,
  port: 8081,
});

const statusOf = (index: number, sequence = 1) => ({
  name: `router-${index}`,
  incarnation: 1_796_000_000_000,
  sequence,
  status: {configurationVersion: 12, queued: 4, running: 20},
});

const item = {
  topic: 'leaving',
  key: 'runner-1 operator',
  value: {upstream: 'runner-1', source: 'operator', leaving: true, version: 1},
};

const filled = (members: number) => {
  const gossip = new GossipQueue();
  for (let index = 0; index < members; index++) {
    gossip.addMember(recordOf(index));
    gossip.addStatus(statusOf(index));
  }
  return gossip;
};

describe('updates', () => {
  it('of many members do not hold up an item of a topic', () => {
    const gossip = filled(50);
    gossip.addItem(item);
    expect(gossip.select(50).items).toEqual([item]);
  });

  it('fit a datagram, however many wait', () => {
    const gossip = filled(340);
    const sizes = Array.from(
      {length: 100},
      () => JSON.stringify(gossip.select(340)).length,
    );
    expect(Math.max(...sizes)).toBeLessThan(900);
  });

  it('are each sent a bounded number of times, and then no more', () => {
    const gossip = filled(9);
    const sent = new Map<string, number>();
    for (let round = 0; round < 200; round++) {
      for (const {name} of gossip.select(9).members) {
        sent.set(name, (sent.get(name) ?? 0) + 1);
      }
    }
    expect(new Set(sent.values())).toEqual(new Set([retransmitLimit(9)]));
    expect(gossip.size).toBe(0);
  });

  it('that are new go before those that wait', () => {
    const gossip = filled(50);
    gossip.addStatus(statusOf(99));
    expect(gossip.select(50).statuses).toEqual([statusOf(99)]);
  });

  it('of a subject are replaced by newer ones', () => {
    const gossip = new GossipQueue();
    gossip.addStatus(statusOf(1));
    gossip.addStatus(statusOf(1, 2));
    expect(gossip.select(9).statuses).toEqual([statusOf(1, 2)]);
  });

  it('are sent more often in a larger fleet, by its logarithm', () => {
    expect([3, 9, 40, 340].map(retransmitLimit)).toMatchInlineSnapshot(`
      [
        4,
        4,
        8,
        12,
      ]
    `);
  });
});
