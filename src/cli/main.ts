#!/usr/bin/env node
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {declareConfiguring} from './command/config.js';
import {declareLeaving} from './command/upstream.js';
import {declareReporting} from './command/report.js';
import {declareServing} from './command/serve.js';
import {ExitCode, leave} from './exit.js';
import {takeEnvironment} from './settings.js';

const VERSION = '0.1.0';

const words = hideBin(process.argv);
const env = takeEnvironment(words);
let cli = yargs(words)
  .scriptName('gypsumcourse')
  .env('GYPSUMCOURSE')
  .version(VERSION)
  .command('version', 'print the version', {}, () => {
    process.stdout.write(`${VERSION}\n`);
  });
cli = declareServing(cli, env);
cli = declareConfiguring(cli, env);
cli = declareLeaving(cli, env);
cli = declareReporting(cli, env);
await cli
  .demandCommand(1)
  .strict()
  .fail((message, error) => {
    leave(ExitCode.Usage, message ?? String(error));
  })
  .parseAsync();
