import type {Random} from '../random.js';
import {RESTART_MS, type GatewayProcess} from './gatewayprocess.js';
import type {PromptCrash, SoakHistory} from './history.js';

const LOOK_MS = 5;
const LONGEST_DELAY_MS = 100;
/** Share of the crashes that are followed by kills, and of these by kills of all. */
const KILLED_SHARE = 0.6;
const ALL_SHARE = 0.25;
/** Crashes of a part from which on no more are followed by kills. */
const LAST_CRASH = 5;

/** Kills gateways between the crash of an upstream by a request and its record. */
export class CrashKills {
  private interval?: NodeJS.Timeout;
  private seen = 0;

  constructor(
    private readonly gateways: readonly GatewayProcess[],
    private readonly history: SoakHistory,
    private readonly random: Random,
  ) {}

  start(): void {
    this.interval = setInterval(() => this.look(), LOOK_MS);
  }

  stop(): void {
    clearInterval(this.interval);
  }

  private look(): void {
    const {crashes} = this.history;
    for (const crash of crashes.slice(this.seen)) this.follow(crash);
    this.seen = crashes.length;
  }

  private follow({part, request}: PromptCrash): void {
    const {random, history} = this;
    const crashes = history.crashes.filter(crash => crash.part === part);
    if (crashes.length > LAST_CRASH || random.next() >= KILLED_SHARE) return;
    const name = history.requests.get(request)?.gateway;
    const killsAll = random.next() < ALL_SHARE;
    for (const gateway of this.gateways) {
      if (!killsAll && gateway.name !== name) continue;
      setTimeout(
        () => void kill(gateway, history),
        random.between(0, LONGEST_DELAY_MS),
      );
    }
  }
}

async function kill(
  gateway: GatewayProcess,
  history: SoakHistory,
): Promise<void> {
  if (gateway.isStopping || !gateway.isRunning) return;
  const end = history.disrupt(gateway.name, 'crashKill');
  await gateway.kill();
  await new Promise(resolve => setTimeout(resolve, RESTART_MS));
  gateway.start();
  end();
}
