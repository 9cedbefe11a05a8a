import {fleetText, type FleetReport} from '../report/index.js';
import {ExitCode} from './exit.js';
import {fetchJson, type OperatorAccess} from './operatorclient.js';

/** Prints the state of the fleet, as each instance sees it. */
export async function showFleet(
  access: OperatorAccess,
  json: boolean,
): Promise<ExitCode> {
  const report = await fetchJson<FleetReport>(access, '/api/fleet');
  const text = json ? `${JSON.stringify(report)}\n` : fleetText(report);
  process.stdout.write(text);
  return ExitCode.Success;
}
