import pino from 'pino';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {RationedPlacement} from '../src/forward/rationedplacement.js';
import {Quarantine} from '../src/quarantine/index.js';
import {ManualTimer} from '../src/timer/index.js';
import {
  closeDeployments,
  CrashDeployment,
  STABLE_WINDOW_MS,
} from './support/crashdeployment.js';
import {sleep} from './support/silentupstream.js';

/** Time of a turn, and time after its last crash in which a part is rationed. */
const [TURN_MS, RATION_MS] = [2_000, 15_000];
const PARTS = ['hot', 'turned', 'own'];

let timer: ManualTimer;
let ownsTurns: boolean;
let quarantine: Quarantine;
let crashes: number;
let upstreamCount: number;

beforeEach(async () => {
  timer = new ManualTimer();
  ownsTurns = true;
  crashes = 0;
  upstreamCount = 6;
  quarantine = new Quarantine({
    timer,
    ownsTurn: () => ownsTurns,
    upstreamCount: () => upstreamCount,
  });
  await timer.advance(60_000);
});

afterEach(closeDeployments);

async function crash(count: number, parts = PARTS): Promise<void> {
  for (let index = 0; index < count; index++) {
    await timer.advance(10);
    crashes++;
    const request = `request-${crashes}`;
    quarantine.learn({
      type: 'crash',
      upstream: `upstream-${crashes}`,
      startedAt: 7,
      reporter: 'peer',
      suspects: [{request, parts: parts.slice(0, -1), openMs: 100}],
      at: timer.now(),
    });
  }
}

describe('requests with a part that was answered', () => {
  beforeEach(() => quarantine.recordAnswer(PARTS));

  it('are rationed from its third crash to its next answer', async () => {
    await crash(2);
    expect(quarantine.rationed(PARTS)).toEqual([]);
    await crash(1);
    expect(quarantine.rationed(PARTS)).toEqual(['turned']);
    expect(quarantine.rationed(['hot', 'other', 'own'])).toEqual([]);
    quarantine.learn({type: 'clearance', part: 'turned', at: timer.now()});
    expect(quarantine.rationed(PARTS)).toEqual([]);
  });

  it('are not rationed while most upstreams live', async () => {
    upstreamCount = 7;
    await crash(3);
    expect(quarantine.rationed(PARTS)).toEqual([]);
  });

  // Popular sound parts in the same crashes stayed rationed while they were answered.
  it('are free after an answer though another part explains the crashes', async () => {
    quarantine.recordAnswer(['hot', 'sound', 'own']);
    for (let count = 0; count < 3; count++) {
      await crash(1, ['hot', 'sound', 'turned', 'own']);
    }
    const parts = ['hot', 'sound', 'turned', 'own'];
    expect(quarantine.rationed(parts)).toEqual(['sound', 'turned']);
    quarantine.recordAnswer(['hot', 'sound', 'own']);
    expect(quarantine.rationed(parts)).toEqual(['turned']);
  });

  it('are free again some time after its last crash', async () => {
    await crash(3);
    await timer.advance(RATION_MS - 1);
    expect(quarantine.rationed(PARTS)).toEqual(['turned']);
    await timer.advance(1);
    expect(quarantine.rationed(PARTS)).toEqual([]);
  });

  it('are forwarded once in a turn, by its owner', async () => {
    await crash(3);
    const turns: boolean[] = [];
    const tryTurn = async () => {
      const isFree = quarantine.hasTurn(PARTS);
      if (isFree) quarantine.takeTurn(PARTS);
      turns.push(isFree);
      await timer.advance(TURN_MS / 2);
    };
    for (let count = 0; count < 4; count++) await tryTurn();
    ownsTurns = false;
    await tryTurn();
    expect(turns.filter(isFree => isFree)).toHaveLength(2);
    expect(turns.at(-1)).toBe(false);
  });
});

it('requests with a first or a new part are not rationed', async () => {
  quarantine.recordAnswer(['first', 'own']);
  await crash(3, ['first', 'new', 'own']);
  expect(quarantine.rationed(['first', 'own'])).toEqual([]);
  expect(quarantine.rationed(['first', 'new', 'own'])).toEqual([]);
});

describe('a rationed request', () => {
  let upstreams: number;
  let isRationed: boolean;

  beforeEach(async () => {
    upstreams = 0;
    isRationed = true;
    quarantine.recordAnswer(PARTS);
    await crash(3);
  });

  /** Waits for a turn with a deadline of 4 s, and tells how that ended. */
  async function place(): Promise<string | undefined> {
    const request = {
      requestId: 'r1',
      deadlineAt: timer.now() + 4_000,
      signal: new AbortController().signal,
      isHeld: () => false,
      isRationed: () => isRationed,
    };
    const waitQueue = {
      placeNow: () => (upstreams > 0 ? {endpoint: {}} : undefined),
    };
    const placement = new RationedPlacement(
      {timer, logger: pino({enabled: false}), promptGuard: quarantine} as never,
      {parts: PARTS, service: {waitQueue}} as never,
    );
    const result = placement.place(request as never);
    await timer.advance(1_000);
    upstreams++;
    await timer.advance(4_000);
    return (await result)?.type;
  }

  it('takes a turn only once an upstream takes it', async () => {
    expect(await place()).toBe('placed');
    expect(quarantine.hasTurn(PARTS)).toBe(true);
  });

  it('is refused while there is time to go elsewhere', async () => {
    ownsTurns = false;
    expect(await place()).toBe('notRun');
  });

  it('goes on as others do once the part was answered', async () => {
    ownsTurns = false;
    timer.after(500, () => (isRationed = false));
    expect(await place()).toBeUndefined();
  });
});

it('sound requests begin again after all engines ended at once', async () => {
  let endsEngines = false;
  const deployment = await CrashDeployment.open(() => endsEngines, undefined, {
    soundPeriodMs: 50,
    badPeriodMs: 400,
    restartMs: () => 2_000,
  });
  await sleep(2_000);
  endsEngines = true;
  await sleep(200);
  endsEngines = false;
  await sleep(2_000 + STABLE_WINDOW_MS);
  const returnedAt = performance.now();
  await sleep(3_000);
  expect(deployment.engines.crashes.length).toBeGreaterThanOrEqual(3);
  const share = deployment.begunShare(returnedAt, performance.now() - 200);
  expect(share).toBeGreaterThan(0.9);
});
