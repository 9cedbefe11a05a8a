import type {Argv} from 'yargs';
import {
  checkFile,
  publishFile,
  showConfiguration,
  showDifference,
} from '../config.js';

/** Declares the commands on configuration documents. */
export function declareConfigCommands(
  root: Argv,
  env: NodeJS.ProcessEnv,
): Argv {
  return root.command(
    'config',
    'check and publish configuration documents',
    argv =>
      argv
        .example(
          '$0 config check examples/nilecoil.json',
          'tell every problem of a document',
        )
        .example(
          '$0 config publish new.json --log-url http://10.0.0.9:9000 --peer 10.0.0.1:8081',
          'publish, and tell which instances have it',
        )
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
            process.exitCode = await showConfiguration(logUrl);
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
  );
}
