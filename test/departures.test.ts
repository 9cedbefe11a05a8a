import {pino} from 'pino';
import {describe, expect, it} from 'vitest';
import {EntryState, Registry, Standing} from '../src/registry/index.js';
import {ManualTimer} from '../src/timer/index.js';

/** Sequences of entries by their record; 1 for any other. */
const SEQUENCES: Record<string, number> = {
  older: 0,
  newer: 2,
  'draining later': 2,
};

describe('the entries of upstreams', () => {
  const value = Buffer.from('');
  const setUp = () => {
    const timer = new ManualTimer();
    const store = {reachableForMs: 1};
    const registry = new Registry({
      decode: (id, record) => ({
        id,
        service: 's',
        host: 'h',
        port: 1,
        zone: 'z',
        softwareVersion: 'v1',
        slots: 4,
        state: String(record).startsWith('draining')
          ? EntryState.Draining
          : EntryState.Ready,
        coldMs: 0,
        sequence: SEQUENCES[String(record)] ?? 1,
      }),
      timer,
      logger: pino({level: 'silent'}),
      reachableForMs: () => store.reachableForMs,
      servedForMs: () => 0,
      changed: () => undefined,
    });
    const ids = () => [...registry.usable()].map(({id}) => id);
    return {timer, store, registry, ids};
  };

  it('are removed at peers even if they are not known here', () => {
    const removal = {key: 'a', offset: 1};
    expect(setUp().registry.add([removal])).toEqual([removal]);
  });

  it('that a copy lists by an older record are not missing', async () => {
    const {timer, registry, ids} = setUp();
    const older = Buffer.from('older');
    registry.add([{key: 'a', offset: 1, value}]);
    registry.replace([], true);
    registry.replace([{key: 'a', offset: 0, value: older}], true);
    await timer.advance(3_100);
    registry.sweep();
    expect(ids()).toEqual(['a']);
  });

  it('that the store removed are not brought back by an older copy', async () => {
    const {timer, registry, ids} = setUp();
    const record = {key: 'a', offset: 1, value};
    registry.add([record, {key: 'a', offset: 2}]);
    // So soon after an outage, the removal may be a lapse.
    expect(registry.known()).toEqual([
      {...record, standing: 'missing', graceMs: 2_000},
    ]);
    await timer.advance(2_100);
    registry.sweep();
    registry.replace([record], true);
    expect(registry.known()).toEqual([{...record, standing: 'left'}]);
    expect(ids()).toEqual([]);
    await timer.advance(10_000);
    registry.sweep();
    expect(ids()).toEqual(['a']);
  });

  it('that a copy lists and a later one lacks are not used', async () => {
    const {timer, registry, ids} = setUp();
    const record = {key: 'a', offset: 1, value};
    registry.add([record, {key: 'a', offset: 2}]);
    await timer.advance(2_100);
    registry.sweep();
    registry.replace([record], true);
    registry.replace([], true);
    await timer.advance(10_000);
    registry.sweep();
    expect(ids()).toEqual([]);
  });

  const setUpLost = async () => {
    const {timer, store, registry, ids} = setUp();
    const record = {key: 'a', offset: 1, value};
    registry.add([record]);
    store.reachableForMs = 0;
    registry.replace([], true);
    await timer.advance(3_100);
    registry.sweep();
    // Nobody could register meanwhile.
    expect(ids()).toEqual(['a']);
    registry.replace([], true);
    store.reachableForMs = 3_100;
    await timer.advance(2_400);
    registry.sweep();
    expect(ids()).toEqual(['a']);
    await timer.advance(200);
    registry.sweep();
    expect(ids()).toEqual([]);
    return {timer, registry, record, ids};
  };

  it('that two copies lack and a third lists as written since are used', async () => {
    const {registry, record, ids} = await setUpLost();
    registry.replace([{...record, value: Buffer.from('newer')}], true);
    expect(ids()).toEqual(['a']);
  });

  it('that two copies lack and a third lists as before are not used', async () => {
    const {timer, registry, record, ids} = await setUpLost();
    registry.replace([record], true);
    expect(ids()).toEqual([]);
    // Peers may have heard from the upstream since.
    expect(registry.known()).toEqual([record]);
    registry.add([{...record, standing: Standing.Missing, graceMs: 2_000}]);
    expect(ids()).toEqual([]);
    await timer.advance(9_900);
    registry.sweep();
    expect(ids()).toEqual([]);
    await timer.advance(200);
    registry.sweep();
    expect(ids()).toEqual(['a']);
  });

  it('that a copy lists as before are used when written again', async () => {
    const {registry, record, ids} = await setUpLost();
    registry.replace([record], true);
    registry.add([{key: 'a', offset: 2, value: Buffer.from('newer')}]);
    expect(ids()).toEqual(['a']);
  });

  it('that drain and that a copy lacks are used when written since', () => {
    const {store, registry, ids} = setUp();
    store.reachableForMs = 0;
    const record = {key: 'a', offset: 1, value: Buffer.from('draining')};
    registry.add([record]);
    registry.replace([], true);
    expect(ids()).toEqual([]);
    registry.replace([record], true);
    expect(ids()).toEqual([]);
    const later = Buffer.from('draining later');
    registry.replace([{...record, offset: 2, value: later}], true);
    expect(ids()).toEqual(['a']);
  });
});
