import {mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {expect, vi} from 'vitest';
import {UPSTREAMS_TOPIC} from '../../bench/soak/deployment.js';
import {GatewayProcess} from '../../bench/soak/gatewayprocess.js';
import {SoakHistory} from '../../bench/soak/history.js';
import {Topic} from '../../src/registry/index.js';
import {
  startKeyedStore,
  type KeyedStoreStandIn,
} from '../../stand-ins/index.js';
import {LOOPBACK} from '../../stand-ins/loopback.js';
import {LogEvent} from '../../src/telemetry/index.js';
import {sleep} from './silentupstream.js';
import {
  eventsIn,
  sendStream,
  VersionedDeployment,
  versionsIn,
} from './versionedengines.js';
import type {CallerResponse} from './gateway.js';

const CONFIGURATION_TOPIC = 'keyed.op';
/** Starts the keys of the records of software versions. */
export const VERSION_RECORDS = 'softwareVersions/';
const INSTANCES_TOPIC = 'keyed.gypsumcourse';
const WAIT_OPTIONS = {timeout: 10_000, interval: 20};

/** A stream that its caller has left, and where it began. */
export interface LeftStream {
  id: string;
  response: CallerResponse | undefined;
}

/** Engines of several software versions behind gateways with their own processes. */
export class VersionedProcesses {
  readonly engines: VersionedDeployment;
  private readonly folder = mkdtempSync(join(tmpdir(), 'gypsumcourse-'));

  private constructor(
    readonly store: KeyedStoreStandIn,
    readonly gateways: GatewayProcess[] = [],
  ) {
    this.engines = new VersionedDeployment(undefined, {
      add: (topic, key, value) =>
        store.log.append(
          topic === Topic.Configuration ? CONFIGURATION_TOPIC : UPSTREAMS_TOPIC,
          key,
          value === undefined ? undefined : Buffer.from(JSON.stringify(value)),
        ),
    });
  }

  /** Starts engines of the given versions, then gateways. */
  static async open(
    versions: string[],
    size: number,
    {isReadOnly = false} = {},
  ): Promise<VersionedProcesses> {
    const store = await startKeyedStore(0, {isReadOnly}, LOOPBACK);
    const fleet = new VersionedProcesses(store);
    await fleet.engines.addEngines(versions);
    const history = new SoakHistory();
    for (let index = 0; index < size; index++) {
      fleet.gateways.push(
        await GatewayProcess.open(index, store.port, fleet.folder, history),
      );
    }
    await fleet.start();
    return fleet;
  }

  /** Starts all processes that don't run, and waits until they are ready. */
  async start(): Promise<void> {
    for (const gateway of this.gateways) gateway.start();
    await Promise.all(this.gateways.map(gateway => gateway.untilReady()));
  }

  /** Ends all processes at once, as a loss of power does. */
  async killAll(): Promise<void> {
    await Promise.all(this.gateways.map(gateway => gateway.kill()));
  }

  /** Stops processes for a while, as a suspension of their machines does. */
  async suspend(gateways: readonly GatewayProcess[], ms: number) {
    for (const gateway of gateways) gateway.signal('SIGSTOP');
    await sleep(ms);
    for (const gateway of gateways) gateway.signal('SIGCONT');
  }

  /** Removes records that instances wrote, by the beginning of their keys. */
  forgetRecords(prefix = ''): void {
    const {log} = this.store;
    for (const {key} of log.newest(INSTANCES_TOPIC)) {
      if (key.startsWith(prefix)) log.append(INSTANCES_TOPIC, key);
    }
  }

  /** Resolves when the store names the software versions. */
  async untilRecorded(softwareVersions: string[]): Promise<void> {
    await vi.waitFor(() => {
      const records = this.store.log
        .newest(INSTANCES_TOPIC)
        .filter(({key}) => key.startsWith(VERSION_RECORDS))
        .map(({value}) => JSON.parse(String(value)) as unknown);
      expect(records).toContainEqual(
        expect.objectContaining({service: 'engine', softwareVersions}),
      );
    }, WAIT_OPTIONS);
  }

  /** Begins a stream whose caller leaves after some events. */
  async beginAndLeave(index: number, id: string): Promise<LeftStream> {
    const response = await sendStream(this.callersOf(index), id, {
      abortAt: 'id: 4\n',
    });
    expect(eventsIn(response).length).toBeGreaterThan(0);
    return {id, response};
  }

  /** Takes up the rest of a stream. */
  takeUp(index: number, {id, response}: LeftStream) {
    const lastEvent = eventsIn(response).at(-1)?.id ?? 0;
    const options = {resumes: id, lastEvent};
    return sendStream(this.callersOf(index), `${id}-again`, options);
  }

  /** Why an instance didn't know the origins of streams, each reason once. */
  reasonsOf(index: number): unknown[] {
    const reasons = this.linesOf(index, LogEvent.Resumed).flatMap(
      ({reason}) => reason ?? [],
    );
    return [...new Set(reasons)];
  }

  /** Resolves when an instance has logged a number of events of a kind. */
  async untilLogged(index: number, kind: LogEvent, count: number) {
    await vi.waitFor(() => {
      const {length} = this.linesOf(index, kind);
      expect(length).toBeGreaterThanOrEqual(count);
    }, WAIT_OPTIONS);
  }

  private linesOf(index: number, kind: LogEvent) {
    const file = join(this.folder, `${this.gateways[index]?.name}.log`);
    const lines = readFileSync(file, 'utf8').split('\n').slice(0, -1);
    return lines
      .map(line => JSON.parse(line) as Record<string, unknown>)
      .filter(({event}) => event === kind);
  }

  async close(): Promise<void> {
    await this.killAll();
    await this.engines.close();
    await Promise.all(
      this.gateways.flatMap(({ingress, storeLink}) => [
        ingress.close(),
        storeLink.close(),
      ]),
    );
    await this.store.close();
    rmSync(this.folder, {recursive: true});
  }

  private callersOf(index: number) {
    const port = this.gateways[index]?.ingress.port ?? 0;
    return {gateway: {port}};
  }
}

/** Whether a stream and its rest have events of one software version alone. */
export function isOfOneVersion(
  {response}: LeftStream,
  rest: CallerResponse | undefined,
): boolean {
  return versionsIn(response, rest).length === 1;
}
