import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {startEngine} from './engine.js';
import type {StandIn} from './http.js';
import {startInstanceList} from './instancelist.js';
import {startLog} from './log.js';
import {startService} from './service.js';
import {startWeightStore} from './weightstore.js';

/** Stand-ins that can be started as a process. */
enum Kind {
  Log = 'log',
  Engine = 'engine',
  Service = 'service',
  List = 'list',
  Weights = 'weights',
}

function start(kind: Kind, port: number, behaviour: object): Promise<StandIn> {
  switch (kind) {
    case Kind.Log:
      return startLog(port, behaviour);
    case Kind.Engine:
      return startEngine(port, behaviour, () => process.exit(1));
    case Kind.Service:
      return startService(port, behaviour, () => process.exit(1));
    case Kind.List:
      return startInstanceList(port, behaviour);
    case Kind.Weights:
      return startWeightStore(port, behaviour);
  }
}

const args = await yargs(hideBin(process.argv))
  .scriptName('stand-in')
  .option('kind', {choices: Object.values(Kind), demandOption: true})
  .option('port', {type: 'number', default: 0})
  .option('behaviour', {type: 'string', default: '{}'})
  .strict()
  .parseAsync();

const standIn = await start(
  args.kind,
  args.port,
  JSON.parse(args.behaviour) as object,
);
process.stdout.write(`${JSON.stringify({port: standIn.port})}\n`);
process.on('SIGTERM', () => process.exit(0));
