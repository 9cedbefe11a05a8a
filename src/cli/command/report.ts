import type {Argv} from 'yargs';
import {ExitCode, exitWithError} from '../exit.js';
import {explainRequest} from '../explain.js';
import {explainFromLogs, reportLogs} from '../logs.js';
import {showFleet} from '../fleet.js';
import type {OperatorAccess} from '../operatorclient.js';
import {reportBurn} from '../burnreport.js';
import {operatorSecret} from '../settings.js';

function accessWith(env: NodeJS.ProcessEnv, url: string): OperatorAccess {
  const secret = operatorSecret(env);
  if (secret !== undefined) return {url, secret};
  exitWithError(ExitCode.Usage, 'GYPSUMCOURSE_OPERATOR_SECRET is not set');
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

/** Declares the commands that report on the fleet. */
export function declareReportCommands(
  root: Argv,
  env: NodeJS.ProcessEnv,
): Argv {
  const accessTo = (url: string) => accessWith(env, url);
  return root
    .command('report', 'report on the fleet', argv =>
      argv
        .example('$0 report burn --html burn.html', 'write a page with plots')
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
        .command(
          'logs <files..>',
          'report from logs how requests ended, by route',
          sub =>
            sub
              .positional('files', {
                type: 'string',
                array: true,
                demandOption: true,
              })
              .option('json', {type: 'boolean', default: false})
              .example('$0 report logs entry-1.log entry-2.log', 'two logs'),
          ({files, json}) => {
            process.exitCode = reportLogs(files, json);
          },
        )
        .demandCommand(1),
    )
    .command(
      'explain <request>',
      'tell what was done with a request, and why',
      argv =>
        declareAccess(argv)
          .example(
            '$0 explain 0199f3b2-5c1e-7a44-9d0e-3b1f0c2a7e55',
            'ask any instance about a request',
          )
          .example(
            '$0 explain 9c41d07be2a35f68 --logs entry-1.log entry-2.log',
            'follow a request through the logs of instances',
          )
          .positional('request', {
            type: 'string',
            demandOption: true,
          })
          .option('logs', {
            type: 'string',
            array: true,
            describe: 'read these logs instead of asking an instance',
          }),
      async ({url, request, json, logs}) => {
        process.exitCode =
          logs === undefined
            ? await explainRequest(accessTo(url), request, json)
            : explainFromLogs(request, logs, json);
      },
    )
    .command(
      'fleet',
      'show instances, upstreams and where views disagree',
      argv =>
        declareAccess(argv).example('$0 fleet --json', 'the same as data'),
      async ({url, json}) => {
        process.exitCode = await showFleet(accessTo(url), json);
      },
    );
}
