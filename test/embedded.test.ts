import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {call} from '../bench/caller.js';
import {demoKey, Deployment, exampleOf} from '../bench/deployment.js';
import {startEmbedded, type EmbeddedRouter} from '../src/cli/dev.js';
import {Level} from '../src/telemetry/index.js';
import {outputTokens} from '../stand-ins/index.js';

let embedded: EmbeddedRouter;

beforeAll(async () => {
  embedded = await startEmbedded(exampleOf(Deployment.Nilecoil), {
    port: 0,
    logLevel: Level.Silent,
  });
});

afterAll(() => embedded.stop());

const chat = (content: string, stream = true) => ({
  model: 'tube-7b',
  stream,
  messages: [{role: 'user', content}],
});

const send = (body: unknown, key = demoKey('glue-lab'), headers = {}) =>
  call({
    url: embedded.url,
    path: '/v1/chat/completions',
    key,
    headers,
    body,
  });

describe('an embedded router with upstreams', () => {
  it('streams exactly the complete answer of the upstream', async () => {
    const body = chat('Which glue for four plies?');
    const reply = await send(body);
    expect(reply.ended).toBe(true);
    expect(reply.outcome).toBe('completed');
    expect(reply.text).toBe(outputTokens(body).join(''));
  });

  it('returns to each concurrent caller its own answer', async () => {
    const bodies = Array.from({length: 40}, (_, n) => chat(`Question ${n}`));
    const replies = await Promise.all(bodies.map(body => send(body)));
    expect(replies.map(reply => reply.text)).toEqual(
      bodies.map(body => outputTokens(body).join('')),
    );
  });

  it('returns a complete answer without streaming', async () => {
    const body = chat('Short', false);
    const reply = await send(body);
    const answer = JSON.parse(reply.text);
    expect(reply.outcome).toBe('completed');
    expect(answer.choices[0].message.content).toBe(outputTokens(body).join(''));
  });

  it('rejects invalid requests as not_run with a typed error', async () => {
    const cases = [
      await send(chat('x'), 'wrong key'),
      await send('{'),
      await send({model: 'tube-7b'}),
      await send({...chat('x'), model: 'nothing'}),
      await send(chat('x'), undefined, {'gypsumcourse-class': 'spec-review'}),
      await send(chat('x'), undefined, {'gypsumcourse-deadline-ms': '-1'}),
    ];
    expect(cases.map(({status, error, outcome}) => ({status, error, outcome})))
      .toMatchInlineSnapshot(`
      [
        {
          "error": "unauthenticated",
          "outcome": "not_run",
          "status": 401,
        },
        {
          "error": "badRequest",
          "outcome": "not_run",
          "status": 400,
        },
        {
          "error": "badRequest",
          "outcome": "not_run",
          "status": 400,
        },
        {
          "error": "unknownModel",
          "outcome": "not_run",
          "status": 404,
        },
        {
          "error": "forbiddenClass",
          "outcome": "not_run",
          "status": 403,
        },
        {
          "error": "badRequest",
          "outcome": "not_run",
          "status": 400,
        },
      ]
    `);
  });
});
