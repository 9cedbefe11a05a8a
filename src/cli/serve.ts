import {checkSettings, type Settings} from '../instance/index.js';
import {
  componentLogger,
  openStderrLogger,
  Component,
} from '../telemetry/index.js';
import {startRouter} from '../wiring/index.js';
import {ExitCode, exitWithError} from './exit.js';
import {collectSettings} from './settings.js';

/** Returns the flag of a setting, such as `--log-url` for `logUrl`. */
function flagOf(setting: string): string {
  return `--${setting.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)}`;
}

/** Returns valid settings, or prints all problems and exits. */
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

/** Runs an instance until SIGTERM or SIGINT, then drains and exits with 0. */
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
