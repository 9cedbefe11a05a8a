import {afterEach, expect, test} from 'vitest';
import {LogEvent} from '../src/telemetry/index.js';
import {successHead} from './support/gateway.js';
import {
  closeAll,
  open,
  openGateway,
  sendStream,
} from './support/silencegateway.js';
import {
  eventsOf,
  refuse,
  sleep,
  streamOf,
  type Answer,
} from './support/silentupstream.js';

const BEGUN = 3;
/** Longer than what is kept of an answer until it is complete, in bytes. */
const LONG = 300 * 1024;

/** Breaks a stream off after its first events. */
const breakOff = streamOf({
  events: BEGUN + 1,
  afterEvent: (event, {socket}) => {
    if (event < BEGUN) return true;
    // The caller gets the events before the break.
    setTimeout(() => socket.destroy(), 30);
    return false;
  },
});

function answerWith(head: string, body: string): Answer {
  const length = `Content-Length: ${body.length}\r\n`;
  return (request, upstream) =>
    upstream.send(
      request,
      successHead(request.id, head + length).replace('200 OK', status(head)) +
        body,
    );
}

function status(head: string): string {
  return head.startsWith('Error: ') ? '500 Error' : '200 OK';
}

const EVENTS = 'Content-Type: text/event-stream\r\n';
const TEXT = 'Content-Type: text/plain\r\n';

afterEach(closeAll);

// The next upstream's answer ended up in the middle of the caller's stream.
test.each<{kind: string; next: Answer}>([
  {kind: 'a failure', next: answerWith(`Error: 1\r\n${TEXT}`, 'no')},
  {
    kind: 'a failing stream',
    next: answerWith(`Error: 1\r\n${EVENTS}`, 'data: x\n\n'),
  },
  {
    kind: 'a long failure',
    next: answerWith(`Error: 1\r\n${TEXT}`, 'x'.repeat(LONG)),
  },
  {kind: 'a body that is no stream', next: answerWith(TEXT, 'no stream')},
  {
    kind: 'a long body that is no stream',
    next: answerWith(TEXT, 'x'.repeat(LONG)),
  },
  {kind: 'a refusal', next: refuse},
])(
  'a broken stream gets no part of $kind of the next upstream',
  async ({next}) => {
    const engines = await open('engine', 3, breakOff, next);
    const gateway = await openGateway([engines], 2);
    const response = await sendStream(gateway, 'r1');
    expect(engines.arrivals('r1').length).toBeGreaterThan(1);
    expect(response).toMatchObject({
      status: 200,
      body: eventsOf(1, BEGUN),
      complete: false,
    });
    await sleep(50);
    expect(gateway.logLines).not.toContainEqual(
      expect.objectContaining({event: LogEvent.Defect}),
    );
  },
);
