import {
  parsePeerAddress,
  sendLeavingCommand,
  Credential,
  PeerClient,
  fetchUpstreams,
} from '../instance/index.js';
import {ExitCode, exitWithError} from './exit.js';
import {collectSettings} from './settings.js';

const ANY_ADDRESS = '0.0.0.0';

function openClient(env: NodeJS.ProcessEnv): PeerClient {
  const secrets = collectSettings({}, env)['peerSecrets'] as string[];
  return new PeerClient(new Credential(secrets), ANY_ADDRESS);
}

/** Tells the fleet that an upstream leaves, or that it may be used again. */
export async function setLeaving(
  upstream: string,
  leaving: boolean,
  peer: string,
  env: NodeJS.ProcessEnv,
): Promise<ExitCode> {
  const client = openClient(env);
  const address = parsePeerAddress(peer);
  const result = await sendLeavingCommand(client, address, upstream, leaving);
  await client.close();
  if (result.isOk()) {
    process.stdout.write(`${upstream} ${leaving ? 'leaves' : 'returns'}.\n`);
    return ExitCode.Success;
  }
  const failure = result.error;
  switch (failure.type) {
    case 'peerRefused':
      exitWithError(ExitCode.Failure, failure.message);
      break;
    case 'peerTimeout':
    case 'peerUnreachable':
      exitWithError(ExitCode.Unavailable, `${peer} did not answer`);
  }
}

/** Prints every upstream and whether it takes new work. */
export async function listUpstreams(
  peer: string,
  env: NodeJS.ProcessEnv,
): Promise<ExitCode> {
  const client = openClient(env);
  const views = await fetchUpstreams(client, parsePeerAddress(peer));
  await client.close();
  if (views === undefined) {
    exitWithError(ExitCode.Unavailable, `${peer} did not answer`);
  }
  for (const {upstream, pool, takesWork, sources} of views) {
    const reason = sources.length > 0 ? ` (${sources.join(', ')})` : '';
    const state = takesWork ? 'takes work' : `takes no new work${reason}`;
    process.stdout.write(`${pool} ${upstream}: ${state}\n`);
  }
  return ExitCode.Success;
}
