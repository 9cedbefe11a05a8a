import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {describe, expect, it} from 'vitest';
import {FaultProxy} from '../stand-ins/index.js';
import {LOOPBACK} from '../stand-ins/loopback.js';

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

describe('the fault proxy for datagrams', () => {
  it('drops datagrams that arrive before its target is set', async () => {
    const target = createSocket('udp4').bind(0, LOOPBACK);
    await once(target, 'listening');
    const received: string[] = [];
    target.on('message', message => received.push(message.toString()));
    const proxy = await FaultProxy.open(LOOPBACK);
    const sender = createSocket('udp4');
    sender.send('early', proxy.port, proxy.host);
    await sleep(50);
    proxy.setTarget(`${LOOPBACK}:${target.address().port}`);
    sender.send('late', proxy.port, proxy.host);
    await sleep(50);
    expect(received).toEqual(['late']);
    sender.close();
    target.close();
    await proxy.close();
  });

  it('drops delayed datagrams once it is closed', async () => {
    const proxy = await FaultProxy.open(LOOPBACK);
    proxy.setTarget(`${LOOPBACK}:9`);
    proxy.inject({delayMs: 40});
    const sender = createSocket('udp4');
    sender.send('delayed', proxy.port, proxy.host);
    await sleep(20);
    await proxy.close();
    await sleep(40);
    expect(proxy.bytes).toBe(0);
    sender.close();
  });
});
