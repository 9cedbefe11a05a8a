import {Agent, request} from 'undici';
import {afterEach, describe, expect, it} from 'vitest';
import {HttpLog} from '../src/platform/index.js';
import {
  startLog,
  startService,
  startWeightStore,
  type LogBehaviour,
  type StandIn,
} from '../stand-ins/index.js';

const standIns: StandIn[] = [];
const agents: Agent[] = [];

afterEach(async () => {
  await Promise.all(agents.splice(0).map(agent => agent.destroy()));
  await Promise.all(standIns.splice(0).map(standIn => standIn.close()));
});

function closeAfterTest<Kind extends StandIn>(standIn: Kind): Kind {
  standIns.push(standIn);
  return standIn;
}

async function openLog(behaviour: Partial<LogBehaviour>) {
  const standIn = closeAfterTest(await startLog(0, behaviour));
  const agent = new Agent();
  agents.push(agent);
  return {standIn, log: new HttpLog(standIn.url, agent)};
}

const valuesOf = async (log: HttpLog) =>
  (await log.read('s', {from: 0}))
    ._unsafeUnwrap()
    .records.map(({value}) => value);

describe('the stand-in log', () => {
  it('loses the same answers and appends for the same seed', async () => {
    const run = async () => {
      const {log} = await openLog({
        lostAnswerShare: 0.3,
        lostAppendShare: 0.3,
        seed: 5,
      });
      const answered: number[] = [];
      for (let n = 0; n < 12; n++) {
        if ((await log.append('s', n)).isOk()) answered.push(n);
      }
      return {answered, stored: await valuesOf(log)};
    };
    const [first, second] = [await run(), await run()];
    expect(second).toEqual(first);
    expect(first.stored.length).toBeLessThan(12);
    expect(first.answered.length).toBeLessThan(first.stored.length);
    expect(first.stored).toEqual(expect.arrayContaining(first.answered));
  });

  it('drops records by age and keeps their offsets', async () => {
    const {log} = await openLog({retentionMs: 60});
    await log.append('s', 'old');
    await new Promise(resolve => setTimeout(resolve, 90));
    await log.append('s', 'new');
    const page = (await log.read('s', {from: 0}))._unsafeUnwrap();
    expect(page).toMatchObject({first: 1, next: 2, records: [{offset: 1}]});
  });

  it('answers reads from a lagging replica', async () => {
    const {standIn, log} = await openLog({replicaLagMs: 60_000});
    await log.append('s', 'late');
    standIn.behaviour.staleReadShare = 1;
    expect(await valuesOf(log)).toEqual([]);
    standIn.behaviour.staleReadShare = 0;
    expect(await valuesOf(log)).toEqual(['late']);
  });
});

describe('the stand-in service', () => {
  it('executes what it answers with an error, and not what it refuses', async () => {
    const service = closeAfterTest(await startService(0, {delayMs: 0}));
    const call = async () => {
      const answer = await request(`${service.url}/x`, {method: 'POST'});
      await answer.body.dump();
      return [answer.statusCode, answer.headers['x-not-run']];
    };
    service.behaviour.errorShare = 1;
    expect(await call()).toEqual([500, undefined]);
    service.behaviour.refusedShare = 1;
    expect(await call()).toEqual([503, 'true']);
    expect(service.journal).toHaveLength(1);
  });
});

describe('the stand-in weight store', () => {
  it('shares its bandwidth among readers and fails when down', async () => {
    const store = closeAfterTest(
      await startWeightStore(0, {modelBytes: 1_000, bytesPerSecond: 10_000}),
    );
    const fetchModel = () => fetch(`${store.url}/weights/m/m/1`);
    const start = performance.now();
    await Promise.all([fetchModel(), fetchModel()]);
    expect(performance.now() - start).toBeGreaterThan(180);
    store.behaviour.down = true;
    expect((await fetchModel()).status).toBe(503);
  });
});
