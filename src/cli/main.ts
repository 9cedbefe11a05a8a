#!/usr/bin/env node
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {declareConfigCommands} from './command/config.js';
import {declareUpstreamCommands} from './command/upstream.js';
import {declareReportCommands} from './command/report.js';
import {declareServeCommands} from './command/serve.js';
import {ExitCode, exitWithError} from './exit.js';
import {filterEnvironment} from './settings.js';

const VERSION = '0.1.0';

const words = hideBin(process.argv);
const env = filterEnvironment(words);
let cli = yargs(words)
  .scriptName('gypsumcourse')
  .env('GYPSUMCOURSE')
  .version(VERSION)
  .command('version', 'print the version', {}, () => {
    process.stdout.write(`${VERSION}\n`);
  });
cli = declareServeCommands(cli, env);
cli = declareConfigCommands(cli, env);
cli = declareUpstreamCommands(cli, env);
cli = declareReportCommands(cli, env);
await cli
  .demandCommand(1)
  .strict()
  .fail((message, error) => {
    exitWithError(ExitCode.Usage, message ?? String(error));
  })
  .parseAsync();
