import type {Argv} from 'yargs';
import {listUpstreams, setLeaving} from '../upstream.js';

/** Declares the `upstream` commands, which take upstreams out of use. */
export function declareUpstreamCommands(
  root: Argv,
  env: NodeJS.ProcessEnv,
): Argv {
  return root.command(
    'upstream',
    'take upstreams out of use and put them back',
    argv =>
      argv
        .example(
          '$0 upstream leave runner-3 --peer 10.0.0.1:8081',
          'send runner-3 no new requests',
        )
        .option('peer', {
          type: 'string',
          demandOption: true,
          describe: 'host:port of any instance',
        })
        .command(
          'list',
          'print the upstreams and whether they get new requests',
          sub => sub,
          async ({peer}) => {
            process.exitCode = await listUpstreams(peer, env);
          },
        )
        .command(
          ['leave <name>', 'return <name>'],
          'stop or resume sending new requests to an upstream',
          sub => sub.positional('name', {type: 'string', demandOption: true}),
          async ({name, peer, _: args}) => {
            const leaving = args[1] === 'leave';
            process.exitCode = await setLeaving(name, leaving, peer, env);
          },
        )
        .demandCommand(1),
  );
}
