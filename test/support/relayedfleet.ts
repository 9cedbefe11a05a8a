import assert from 'node:assert/strict';
import {Topic} from '../../src/registry/index.js';
import {loopbackAddress} from '../../stand-ins/loopback.js';
import {
  addressesIn,
  call,
  openTestFeed,
  startGatewayOn,
  type RawUpstream,
  type TestGateway,
} from './gateway.js';
import {sleep} from './silentupstream.js';

const GRACE_MS = 100;
const POLL_MS = 20;
/** Time in which the gateways learn of each other, in ms. */
const INTRODUCTION_MS = 400;
const INSTANCES = 3;
/** Ids of requests that only show the first gateway its links. */
export const WARM_UP = 'warm-up';

/** Last number of the address of the first gateway. */
const FIRST_ADDRESS = 81;

const hostOf = (index: number) => loopbackAddress(FIRST_ADDRESS + index);

type FleetGateway = Omit<TestGateway, 'feed'>;

/** Gateways, of which the first one reaches upstreams only through the others. */
export class RelayedFleet {
  private readonly gateways = new Map<string, FleetGateway>();

  /** The services must be `plain` and `engine`, with two upstreams each. */
  static async open(
    upstreams: Array<{service: string; id: string; raw: RawUpstream}>,
    graceMs = GRACE_MS,
  ): Promise<RelayedFleet> {
    const fleet = new RelayedFleet();
    const entries = [];
    for (const {service, id, raw} of upstreams) {
      raw.severedFrom = hostOf(0);
      entries.push({service, id, port: await raw.listen()});
    }
    const feed = openTestFeed(entries);
    for (let index = 0; index < INSTANCES; index++) {
      const host = hostOf(index);
      const place = {host, zone: 'zone-a'};
      const name = `entry-${index + 1}`;
      const gateway = await startGatewayOn(feed, graceMs, name, 0.2, place);
      fleet.gateways.set(host, gateway);
    }
    while (addressesIn(feed.records[Topic.Instances]).length < INSTANCES) {
      await sleep(POLL_MS);
    }
    await sleep(INTRODUCTION_MS);
    await fleet.untilServed();
    return fleet;
  }

  /** Port of the gateway that reaches no upstream. */
  get port(): number {
    return this.gatewayAt(hostOf(0)).gateway.port;
  }

  /** Hosts of the gateways that relay connections for the first one. */
  get peers(): string[] {
    return [...this.gateways.keys()].filter(host => host !== hostOf(0));
  }

  /** Stops the gateway of a host, and so ends its tunnels in order. */
  async stop(host: string): Promise<void> {
    await this.gatewayAt(host).gateway.stop();
    this.gateways.delete(host);
  }

  async close(): Promise<void> {
    await Promise.all([...this.gateways.keys()].map(host => this.stop(host)));
  }

  private gatewayAt(host: string): FleetGateway {
    const gateway = this.gateways.get(host);
    assert(gateway !== undefined, `no gateway at ${host}`);
    return gateway;
  }

  private async untilServed(): Promise<void> {
    const areServed = async (id: string) => {
      const answers = await Promise.all([
        call(this.port, '/look/a', `${id}-look`),
        call(this.port, '/chat/a', `${id}-chat`, {
          method: 'POST',
          headers: CHAT_HEADERS,
        }),
      ]);
      return answers.every(answer => answer?.status === 200);
    };
    let count = 0;
    while (!(await areServed(`${WARM_UP}-${count}`))) {
      count++;
      await sleep(POLL_MS);
    }
  }
}

/** Headers that the route of resumable streams needs. */
export const CHAT_HEADERS = {
  'x-model': 'm',
  'x-token-counts': '10,10',
  'x-prompt-prefix': 'a:5,b:5',
};
