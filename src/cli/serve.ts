import {checkSettings, type Settings} from '../instance/index.js';
import {
  componentLogger,
  openStderrLogger,
  Component,
} from '../telemetry/index.js';
import {startRouter} from '../wiring/index.js';
import {ExitCode, exitWithError} from './exit.js';
import {collectSettings} from './settings.js';

/** The flag of a setting, such as `--log-url` of `logUrl`. */
function flagOf(setting: string): string {
  return `--${setting.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)}`;
}

/** Returns checked settings or ends the process with one line. */
export function settingsOrExit(
  flags: Record<string, unknown>,
  env: NodeJS.ProcessEnv,
): Settings {
  const checked = checkSettings(collectSettings(flags, env));
  if (checked.isOk()) return checked.value;
  const problems = checked.error.problems
    .map(({setting, reason}) => `${flagOf(setting)} ${reason}`)
    .join('; ');
  exitWithError(ExitCode.Usage, `bad settings: ${problems}`);
}

/** Runs an instance until it is told to stop, then drains and exits 0. */
export async function serve(
  flags: Record<string, unknown>,
  env: NodeJS.ProcessEnv,
): Promise<void> {
  const settings = settingsOrExit(flags, env);
  const root = openStderrLogger(settings.logLevel);
  const logger = componentLogger(root, Component.Router);
  const router = await startRouter(settings, root);
  const {port, peerPort, operatorPort} = router;
  process.stdout.write(`${JSON.stringify({port, peerPort, operatorPort})}\n`);
  const stop = () => {
    logger.info('Draining.');
    void router.stop().then(() => process.exit(ExitCode.Success));
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
}
