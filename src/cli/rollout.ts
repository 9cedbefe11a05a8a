import {
  parsePeerAddress,
  Credential,
  isLive,
  PeerClient,
  fetchMembers,
} from '../instance/index.js';
import {SystemTimer} from '../timer/index.js';

const POLL_MS = 100;
const ANY_ADDRESS = '0.0.0.0';

/** Which live instances have a version in force, as one instance sees it. */
export interface Rollout {
  version: number;
  /** Names of instances that have it, or a newer one. */
  updated: string[];
  /** Live instances that do not, with the version they have. */
  outdated: Array<{name: string; version: number}>;
}

/**
 * Waits until every live instance has a version in force, and no longer than
 * `timeoutMs`. Returns the last view, or undefined if the instance at `peer`
 * gave none.
 */
export async function awaitRollout(
  version: number,
  peer: string,
  secrets: readonly string[],
  timeoutMs: number,
): Promise<Rollout | undefined> {
  const timer = new SystemTimer();
  const client = new PeerClient(new Credential(secrets), ANY_ADDRESS);
  const end = timer.now() + timeoutMs;
  let rollout: Rollout | undefined;
  while (timer.now() < end) {
    const members = await fetchMembers(client, parsePeerAddress(peer));
    if (members !== undefined) {
      const live = members.filter(isLive).map(({name, status}) => ({
        name,
        version: status.configurationVersion,
      }));
      rollout = {
        version,
        updated: live.filter(m => m.version >= version).map(({name}) => name),
        outdated: live.filter(m => m.version < version),
      };
      if (rollout.outdated.length === 0) break;
    }
    await timer.sleep(POLL_MS);
  }
  await client.close();
  return rollout;
}
