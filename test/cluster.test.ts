import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {call, type CallOptions} from '../bench/caller.js';
import {Cluster} from '../bench/cluster.js';
import {demoKey, Deployment, exampleOf} from '../bench/deployment.js';
import {outputTokens} from '../stand-ins/index.js';

let cluster: Cluster;

beforeAll(async () => {
  cluster = await Cluster.start({
    document: exampleOf(Deployment.Nilecoil),
    routers: 2,
  });
});

afterAll(() => cluster.stop());

const chatRequest = {
  model: 'tube-7b',
  stream: true,
  messages: [{role: 'user', content: 'Hello'}],
  metadata: {output_tokens: '200'},
};

const sendChat = (router: number, options: CallOptions = {}) =>
  call(
    {
      url: cluster.routers[router]?.url ?? '',
      path: '/v1/chat/completions',
      key: demoKey('glue-lab'),
      body: chatRequest,
    },
    options,
  );

describe('real processes', () => {
  it('answer requests at every router', async () => {
    const replies = await Promise.all([sendChat(0), sendChat(1)]);
    const text = outputTokens(chatRequest).join('');
    expect(replies.map(reply => reply.text)).toEqual([text, text]);
  });

  it('finish every request in flight on SIGTERM and then exit 0', async () => {
    // A request that the router reads after the signal is refused as not run.
    const started: Array<Promise<void>> = [];
    const running = Array.from({length: 10}, () => {
      let onFirstToken = () => {};
      started.push(
        new Promise(resolve => {
          onFirstToken = resolve;
        }),
      );
      return sendChat(1, {onFirstToken});
    });
    await Promise.all(started);
    const code = await cluster.routers[1]?.process?.terminate();
    const replies = await Promise.all(running);
    expect(replies.map(reply => reply.outcome)).toEqual(
      Array(10).fill('completed'),
    );
    expect(code).toBe(0);
  });
});
