import {
  parsePeerAddress,
  Credential,
  isLive,
  PeerClient,
  fetchMembers,
} from '../instance/index.js';
import {SystemTimer} from '../timer/index.js';

const POLL_MS = 100;
const ANY_LOCAL_ADDRESS = '0.0.0.0';

/** Which live instances have a version in force, as seen by one instance. */
export interface Rollout {
  version: number;
  /** Names of instances that have this version or a newer one. */
  updated: string[];
  /** Live instances with an older version, and that version. */
  outdated: Array<{name: string; version: number}>;
}

/**
 * Waits until every live instance has a version in force, but no longer than
 * `timeoutMs`. Returns the last view of the instance at `peer` (host:port), or
 * undefined if it returned none.
 */
export async function awaitRollout(
  version: number,
  peer: string,
  secrets: readonly string[],
  timeoutMs: number,
): Promise<Rollout | undefined> {
  const timer = new SystemTimer();
  const client = new PeerClient(new Credential(secrets), ANY_LOCAL_ADDRESS);
  const deadline = timer.now() + timeoutMs;
  let rollout: Rollout | undefined;
  while (timer.now() < deadline) {
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
