#!/usr/bin/env node
import {join} from 'node:path';
import yargs, {type Argv} from 'yargs';
import {hideBin} from 'yargs/helpers';
import {checkFile, publishFile, show, showDifference} from './config.js';
import {dev} from './dev.js';
import {ExitCode, leave} from './exit.js';
import {explainRequest} from './explain.js';
import {showFleet} from './fleet.js';
import type {OperatorAccess} from './operator.js';
import {reportBurn} from './report.js';
import {packageRoot} from './root.js';
import {serve} from './serve.js';
import {declareSettings, operatorSecret, takeEnvironment} from './settings.js';
import {listUpstreams, setLeaving} from './upstream.js';
import {Level} from '../telemetry/index.js';

const VERSION = '0.1.0';

const env = takeEnvironment(hideBin(process.argv));

function accessTo(url: string): OperatorAccess {
  const secret = operatorSecret(env);
  if (secret !== undefined) return {url, secret};
  leave(ExitCode.Usage, 'GYPSUMCOURSE_OPERATOR_SECRET is not set');
}

function declareAccess(argv: Argv) {
  return argv
    .option('url', {
      type: 'string',
      default: 'http://127.0.0.1:8082',
      describe: "operators' listener of any instance",
    })
    .option('json', {type: 'boolean', default: false});
}

await yargs(hideBin(process.argv))
  .scriptName('gypsumcourse')
  .env('GYPSUMCOURSE')
  .version(VERSION)
  .command(
    'serve',
    'run one instance of the router',
    argv => declareSettings(argv),
    argv => serve(argv, env),
  )
  .command(
    'dev',
    'run a router with embedded stand-ins around it',
    argv =>
      argv
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
  )
  .command('config', 'check and publish configuration documents', argv =>
    argv
      .command(
        'check <file>',
        'validate a document',
        sub => sub.positional('file', {type: 'string', demandOption: true}),
        ({file}) => {
          process.exitCode = checkFile(file);
        },
      )
      .command(
        'show',
        'print the document in force',
        sub => sub.option('log-url', {type: 'string', demandOption: true}),
        async ({logUrl}) => {
          process.exitCode = await show(logUrl);
        },
      )
      .command(
        'diff <file>',
        'print what a document would change',
        sub =>
          sub
            .positional('file', {type: 'string', demandOption: true})
            .option('log-url', {type: 'string', demandOption: true}),
        async ({file, logUrl}) => {
          process.exitCode = await showDifference(file, logUrl);
        },
      )
      .command(
        'publish <file>',
        'publish a document on the log',
        sub =>
          sub
            .positional('file', {type: 'string', demandOption: true})
            .option('log-url', {type: 'string', demandOption: true})
            .option('base', {
              type: 'number',
              describe: 'version the document was made from',
            })
            .option('author', {type: 'string', describe: 'who publishes'})
            .option('id', {type: 'string', describe: 'id of an earlier try'})
            .option('peer', {
              type: 'string',
              describe: 'host:port of an instance to ask who has it in force',
            }),
        async ({file, logUrl, base, author, id, peer}) => {
          process.exitCode = await publishFile(
            {
              file,
              logUrl,
              ...(base === undefined ? {} : {base}),
              ...(author === undefined ? {} : {author}),
              ...(id === undefined ? {} : {id}),
              ...(peer === undefined ? {} : {peer}),
            },
            env,
          );
        },
      )
      .demandCommand(1),
  )
  .command('report', 'report on the fleet', argv =>
    argv
      .command(
        'burn',
        'report on service-level burn',
        sub =>
          declareAccess(sub).option('html', {
            type: 'string',
            describe: 'write a page with plots to this file',
          }),
        async ({url, json, html}) => {
          const output = html === undefined ? {json} : {json, html};
          process.exitCode = await reportBurn(accessTo(url), output);
        },
      )
      .demandCommand(1),
  )
  .command('upstream', 'make upstreams leave and return', argv =>
    argv
      .option('peer', {
        type: 'string',
        demandOption: true,
        describe: 'host:port of any instance',
      })
      .command(
        'list',
        'print the upstreams and whether they take work',
        sub => sub,
        async ({peer}) => {
          process.exitCode = await listUpstreams(peer, env);
        },
      )
      .command(
        ['leave <name>', 'return <name>'],
        'send an upstream no new work, or work again',
        sub => sub.positional('name', {type: 'string', demandOption: true}),
        async ({name, peer, _: words}) => {
          const leaving = words[1] === 'leave';
          process.exitCode = await setLeaving(name, leaving, peer, env);
        },
      )
      .demandCommand(1),
  )
  .command(
    'explain <request>',
    'tell what was done with a request, and why',
    argv =>
      declareAccess(argv).positional('request', {
        type: 'string',
        demandOption: true,
      }),
    async ({url, request, json}) => {
      process.exitCode = await explainRequest(accessTo(url), request, json);
    },
  )
  .command(
    'fleet',
    'show instances, upstreams and where views disagree',
    declareAccess,
    async ({url, json}) => {
      process.exitCode = await showFleet(accessTo(url), json);
    },
  )
  .demandCommand(1)
  .strict()
  .fail((message, error) => {
    leave(ExitCode.Usage, message ?? String(error));
  })
  .parseAsync();
