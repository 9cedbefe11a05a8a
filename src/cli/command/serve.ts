import {join} from 'node:path';
import type {Argv} from 'yargs';
import {Level} from '../../telemetry/index.js';
import {dev} from '../dev.js';
import {packageRoot} from '../packageroot.js';
import {serve} from '../serve.js';
import {declareSettings, operatorSecret} from '../settings.js';

/** Declares the commands that run an instance. */
export function declareServeCommands(root: Argv, env: NodeJS.ProcessEnv): Argv {
  return root
    .command(
      'serve',
      'run one instance of the router',
      argv =>
        declareSettings(argv).example(
          '$0 serve --instance entry-1 --zone delta-1 --log-url http://10.0.0.9:9000',
          'join the fleet of that log',
        ),
      argv => serve(argv, env),
    )
    .command(
      'dev',
      'run a router with embedded stand-ins around it',
      argv =>
        argv
          .example(
            '$0 dev --document examples/hraunvik.json',
            'serve the other example',
          )
          .option('document', {
            type: 'string',
            default: join(packageRoot(), 'examples', 'nilecoil.json'),
            describe: 'configuration document to serve',
          })
          .option('port', {type: 'number', default: 8080})
          .option('log-level', {
            choices: Object.values(Level),
            default: Level.Info,
          }),
      ({document, port, logLevel}) => {
        const secret = operatorSecret(env);
        const access = secret === undefined ? {} : {operatorSecret: secret};
        return dev(document, {port, logLevel, ...access});
      },
    );
}
