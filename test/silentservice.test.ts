import {afterEach, describe, expect, test} from 'vitest';
import {LogEvent} from '../src/telemetry/index.js';
import {call, type RawRequest, type TestGateway} from './support/gateway.js';
import {
  closeAll,
  expectWhole,
  open,
  openGateway,
  sendStream,
} from './support/silencegateway.js';
import {
  eventsOf,
  plainAnswer,
  refuse,
  sleep,
  streamOf,
  type Answer,
  type SilentUpstream,
  type UpstreamGroup,
} from './support/silentupstream.js';

/** Most by which a repeat may end after the first and its caller, in ms. */
const SLACK_MS = 500;
/** How long upstreams stand still, in ms. */
const SILENCE_MS = 1_200;
/** What the callers of plain requests wait, in ms. */
const CALLER_MS = 1_500;
/** Fewer requests than upstreams, so that some have none when they fall silent. */
const REQUESTS = 4;
const UPSTREAMS = 8;
const BODY = 'the whole body';
const EVENTS = 6;

afterEach(closeAll);

/** Answers after a time, as one does that works on a request. */
function after(ms: number, answer: Answer): Answer {
  return async (request, upstream) => {
    await sleep(ms);
    await answer(request, upstream);
  };
}

/**
 * Lets upstreams stand still. Resolves once they have read what was sent to
 * them, also where its connection was closed meanwhile.
 */
async function standStill(upstreams: SilentUpstream[]): Promise<void> {
  for (const upstream of upstreams) upstream.standStill(SILENCE_MS);
  await sleep(SILENCE_MS + 100);
}

function look({gateway}: TestGateway, id: string) {
  const headers = {'x-deadline-ms': `${CALLER_MS}`};
  return call(gateway.port, '/look/a', id, {headers});
}

/** When a request ends that an upstream has read, in monotonic ms. */
function endOf({text, readAt}: RawRequest): number {
  return readAt + Number(/x-deadline-ms: (\d+)/i.exec(text)?.[1]);
}

/** Arrivals that were handed more time than was left of the first ones. */
function overlong(group: UpstreamGroup, ids: readonly string[]): string[] {
  return ids.flatMap(id => {
    const [first, ...repeats] = group.arrivals(id);
    if (first === undefined) return [];
    return repeats
      .filter(repeat => endOf(repeat) > endOf(first) + SLACK_MS)
      .map(({upstream}) => `${id} at ${upstream}`);
  });
}

/** Opens upstreams that a gateway knows, and sends requests that they read. */
async function openRequests() {
  const plain = await open('plain', UPSTREAMS, after(100, plainAnswer(BODY)));
  const gateway = await openGateway([plain]);
  // They fill the retry budget.
  await Promise.all(idsOf(60).map(id => look(gateway, `warm-${id}`)));
  const ids = idsOf(REQUESTS);
  const responses = Promise.all(ids.map(id => look(gateway, id)));
  await expect
    .poll(() => ids.every(id => plain.arrivals(id).length > 0), {interval: 5})
    .toBe(true);
  return {plain, gateway, ids, responses};
}

const idsOf = (count: number) =>
  Array.from({length: count}, (_, index) => `r${index}`);

describe('while all upstreams of a service stand still', () => {
  // Guards against repeats that are read with time that has passed (BUDGET).
  test('no repeat is handed more time than is left', async () => {
    const {plain, ids, responses} = await openRequests();
    const afterwards = standStill(plain.members);
    for (const response of await responses) expectWhole(response, BODY);
    await afterwards;
    expect(overlong(plain, ids)).toEqual([]);
  });
});

describe('while all upstreams of a service but one stand still', () => {
  test('requests are sent to that one alone', async () => {
    const {plain, gateway, ids, responses} = await openRequests();
    const busy = ids.map(id => plain.arrivals(id)[0]?.upstream);
    const index = plain.entries.findIndex(({id}) => !busy.includes(id));
    const {id: readingId} = plain.entries[index]!;
    const still = plain.members.filter((_, other) => other !== index);
    const afterwards = standStill(still);
    for (const response of await responses) expectWhole(response, BODY);
    await afterwards;
    const resent = gateway.logLines
      .filter(({event}) => event === LogEvent.Resent)
      .map(({upstream, cause, charged}) => ({upstream, cause, charged}));
    const expected = {upstream: readingId, cause: 'silent', charged: true};
    expect(resent).toEqual(ids.map(() => expected));
    const repeated = ids.flatMap(id => plain.arrivals(id).slice(1));
    expect(repeated.map(({upstream}) => upstream)).toEqual(
      ids.map(() => readingId),
    );
  });

  // Guards against late repeats that silent upstreams read too late (BUDGET).
  test('requests whose upstreams crash are sent to that one alone', async () => {
    const {plain, ids, responses} = await openRequests();
    const busy = ids.map(id => plain.arrivals(id)[0]?.upstream);
    const index = plain.entries.findIndex(({id}) => !busy.includes(id));
    const {id: readingId} = plain.entries[index]!;
    const still = plain.members.filter((_, other) => other !== index);
    const afterwards = standStill(still);
    await sleep(200);

    for (const id of ids) plain.arrivals(id)[0]?.socket.resetAndDestroy();
    for (const response of await responses) expectWhole(response, BODY);
    await afterwards;
    const repeated = ids.flatMap(id => plain.arrivals(id).slice(1));
    expect(repeated.map(({upstream}) => upstream)).toEqual(
      ids.map(() => readingId),
    );
  });
});

describe('a stream whose upstream stands still', () => {
  // Guards against a sound answer that is given up for none (LOST).
  test('is not cut when the upstream that was to continue it falls silent, and refuses it', async () => {
    const refuseLate: Answer = (request, upstream) => {
      upstream.standStill(1_000);
      return refuse(request, upstream);
    };
    const engines = await open(
      'engine',
      2,
      streamOf({
        events: EVENTS,
        afterEvent: (event, _request, upstream) => {
          if (event === 3) upstream.standStill(1_900);
        },
      }),
      refuseLate,
    );
    const gateway = await openGateway([engines]);
    expectWhole(await sendStream(gateway, 'r1'), eventsOf(1, EVENTS));
  });
});
