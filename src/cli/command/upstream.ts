import type {Argv} from 'yargs';
import {listUpstreams, setLeaving} from '../upstream.js';

/** Declares the commands that make upstreams leave and return. */
export function declareUpstreamCommands(
  root: Argv,
  env: NodeJS.ProcessEnv,
): Argv {
  return root.command('upstream', 'make upstreams leave and return', argv =>
    argv
      .example(
        '$0 upstream leave runner-3 --peer 10.0.0.1:8081',
        'send runner-3 no new work',
      )
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
  );
}
