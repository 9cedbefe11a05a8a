import {v7 as uuidv7} from 'uuid';
import {startEmbedded} from '../src/cli/dev.js';
import {Level} from '../src/telemetry/index.js';
import {call, type Call, type Reply} from './caller.js';
import {demoKey, Deployment, exampleOf} from './deployment.js';

/** A request that a workspace of an example deployment might send. */
interface SampleRequest {
  title: string;
  workspace: string;
  path: string;
  headers?: Record<string, string>;
  body: unknown;
}

function requestsOf(deployment: Deployment): SampleRequest[] {
  switch (deployment) {
    case Deployment.Nilecoil:
      return sampleRequests('glue-lab', 'tube-7b', 'Which glue for 4 ply?', {
        workspace: 'winding-line',
        path: '/services/stock/orders',
        class: 'reel-order',
        item: 'paper reel 90 g',
      });
    case Deployment.Hraunvik:
      return sampleRequests(
        'shop-laugavegur',
        'card-8b',
        'Price this binder.',
        {
          workspace: 'shop-laugavegur',
          path: '/services/ledger/purchases',
          class: 'purchase',
          item: 'binder 12',
        },
      );
  }
}

function sampleRequests(
  workspace: string,
  model: string,
  content: string,
  order: {workspace: string; path: string; class: string; item: string},
): SampleRequest[] {
  const headers = {
    'gypsumcourse-class': order.class,
    'idempotency-key': uuidv7(),
  };
  const orderRequest: SampleRequest = {
    title: 'non-repeatable call',
    workspace: order.workspace,
    path: order.path,
    headers,
    body: {item: order.item},
  };
  return [
    {
      title: 'streamed chat',
      workspace,
      path: '/v1/chat/completions',
      body: {model, stream: true, messages: [{role: 'user', content}]},
    },
    {
      title: 'service lookup',
      workspace: order.workspace,
      path: order.path.replace(/[^/]+$/, 'items'),
      headers: {'gypsumcourse-class': 'lookup'},
      body: {item: order.item},
    },
    orderRequest,
    {...orderRequest, title: 'the same call with the same key'},
  ];
}

async function run(deployment: Deployment): Promise<boolean> {
  const embedded = await startEmbedded(exampleOf(deployment), {
    port: 0,
    logLevel: Level.Silent,
  });
  let allCompleted = true;
  for (const sample of requestsOf(deployment)) {
    const request: Call = {
      url: embedded.url,
      key: demoKey(sample.workspace),
      ...sample,
    };
    const reply = await call(request);
    print(deployment, sample, reply);
    allCompleted &&= reply.outcome === 'completed';
  }
  await embedded.stop();
  return allCompleted;
}

function print(
  deployment: Deployment,
  sample: SampleRequest,
  reply: Reply,
): void {
  const text = reply.text.slice(0, 100);
  process.stdout.write(
    `${deployment}: ${sample.title}: ${reply.status} ` +
      `${reply.outcome ?? 'no outcome'} in ${reply.totalMs.toFixed(1)} ms\n` +
      `  ${text}\n`,
  );
}

let allCompleted = true;
for (const deployment of Object.values(Deployment)) {
  allCompleted = (await run(deployment)) && allCompleted;
}
process.exit(allCompleted ? 0 : 1);
