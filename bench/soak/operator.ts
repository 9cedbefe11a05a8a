import {Availability, type KeyedStoreStandIn} from '../../stand-ins/index.js';
import type {Random} from '../random.js';
import {encodeConfiguration, lastingKeyOf, WORKSPACES} from './deployment.js';
import type {SoakHistory} from './history.js';

const OPERATOR_TOPIC = 'keyed.op';
const CONFIGURATION_KEY = 'config';
const LONGEST_PAUSE_MS = 2_000;
/** Time after which the operator looks whether the store lost a version. */
const LOOK_MS = 200;

/** Puts configurations in force that add and revoke keys. */
export class Operator {
  private version = 0;
  private keyNumber = 0;
  /** Keys that come and go, and their workspaces. */
  private readonly keys = new Map<string, string>();
  private readonly revoked: string[] = [];
  private next?: NodeJS.Timeout;
  private nextAt = 0;

  constructor(
    private readonly store: KeyedStoreStandIn,
    private readonly history: SoakHistory,
    private readonly random: Random,
  ) {}

  start(): void {
    this.next = setInterval(() => {
      const isLost = !this.holdsNewest();
      if (!isLost && this.history.now() < this.nextAt) return;
      this.changeKeys();
      this.publish();
      this.nextAt =
        this.history.now() + this.random.between(50, LONGEST_PAUSE_MS);
    }, LOOK_MS);
  }

  stop(): void {
    clearInterval(this.next);
  }

  /** Writes the configuration under a higher version, if the store serves. */
  publish(): void {
    const {store, history} = this;
    if (store.behaviour.availability !== Availability.Serves) return;
    this.version += Math.floor(this.random.between(1, 4));
    const keys = new Map(this.keys);
    for (const name of WORKSPACES) keys.set(lastingKeyOf(name), name);
    const configuration = {version: this.version, keys};
    store.log.append(
      OPERATOR_TOPIC,
      CONFIGURATION_KEY,
      encodeConfiguration(configuration),
    );
    history.configurations.push({
      ...configuration,
      acceptedAt: history.now(),
    });
  }

  /** A key that lasts, comes and goes, was revoked or never was; or none. */
  chooseKey(random: Random): string | undefined {
    const kind = random.next();
    if (kind < 0.02) return undefined;
    if (kind < 0.05) return 'never-held';
    if (kind < 0.12 && this.revoked.length > 0) {
      return random.pick(this.revoked.slice(-3));
    }
    if (kind < 0.3 && this.keys.size > 0) {
      return random.pick([...this.keys.keys()]);
    }
    return lastingKeyOf(random.pick(WORKSPACES));
  }

  private holdsNewest(): boolean {
    const record = this.store.log
      .newest(OPERATOR_TOPIC)
      .find(({key}) => key === CONFIGURATION_KEY);
    const text = record?.value?.toString() ?? '{}';
    return (JSON.parse(text) as {version?: number}).version === this.version;
  }

  private changeKeys(): void {
    const {random, keys} = this;
    keys.set(`key-${++this.keyNumber}`, random.pick(WORKSPACES));
    if (keys.size <= 2) return;
    const revoked = random.pick([...keys.keys()]);
    keys.delete(revoked);
    this.revoked.push(revoked);
  }
}
