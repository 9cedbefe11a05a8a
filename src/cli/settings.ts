import {readFileSync} from 'node:fs';
import type {Argv} from 'yargs';

/** Secrets come from the environment or from files, never from flags. */
interface Secrets {
  peerSecrets: string[];
  operatorSecret?: string;
  orderToken?: string;
}

/** Declares the flags of an instance; each has a `GYPSUMCOURSE_` variable. */
export function declareSettings(argv: Argv): Argv {
  return argv
    .option('instance', {type: 'string', describe: 'name of this instance'})
    .option('zone', {type: 'string', describe: 'its availability zone'})
    .option('host', {type: 'string', describe: 'address to listen on'})
    .option('advertise', {
      type: 'string',
      describe: 'host:port peers are told to use, if not host and peer port',
    })
    .option('port', {type: 'number', describe: 'port for callers'})
    .option('peer-port', {type: 'number', describe: 'port for peers'})
    .option('operator-port', {type: 'number', describe: 'port for operators'})
    .option('log-url', {type: 'string', describe: "the platform's log"})
    .option('log-retention-ms', {
      type: 'number',
      describe: 'how long the log keeps a record',
    })
    .option('list-url', {type: 'string', describe: 'list of live instances'})
    .option('weights-url', {type: 'string', describe: 'the weight store'})
    .option('lease-term-ms', {
      type: 'number',
      describe: 'term of a lease, the same in the whole fleet',
    })
    .option('seeds', {
      type: 'string',
      describe: 'peers to join first, host:port separated by commas',
    })
    .option('peer-cert', {type: 'string', describe: 'PEM certificate for TLS'})
    .option('peer-key', {type: 'string', describe: 'PEM key for TLS'})
    .option('peer-ca', {type: 'string', describe: 'PEM authority for TLS'})
    .option('key-window-ms', {
      type: 'number',
      describe: 'how long an idempotency key may be used; below log retention',
    })
    .option('policy', {
      choices: ['current', 'baseline'] as const,
      describe: 'how requests are scheduled',
    })
    .option('telemetry', {
      choices: ['on', 'off'] as const,
      describe: 'whether requests are traced and counted',
    })
    .option('log-level', {
      type: 'string',
      describe: 'debug, info, warn, error',
    });
}

/** Collects settings from parsed flags and the environment. */
export function collectSettings(
  flags: Record<string, unknown>,
  env: NodeJS.ProcessEnv,
): Record<string, unknown> {
  const seeds = typeof flags['seeds'] === 'string' ? flags['seeds'] : '';
  const given = Object.entries(flags).filter(
    ([name, value]) => value !== undefined && !name.includes('-'),
  );
  return {
    ...Object.fromEntries(given),
    seeds: seeds.split(',').filter(seed => seed !== ''),
    ...readSecrets(env),
  };
}

const SECRET_VARIABLES = [
  'GYPSUMCOURSE_PEER_SECRETS',
  'GYPSUMCOURSE_OPERATOR_SECRET',
  'GYPSUMCOURSE_ORDER_TOKEN',
];

/** Variables that a command other than `serve` reads, by its words. */
const COMMAND_VARIABLES: ReadonlyArray<{command: RegExp; names: string[]}> = [
  {
    command: /^config (show|diff|publish)\b/,
    names: ['GYPSUMCOURSE_LOG_URL'],
  },
  {command: /^(report|explain|fleet)\b/, names: ['GYPSUMCOURSE_URL']},
];

/**
 * Takes the secrets, and variables that the command does not read, out of the
 * process's environment and returns the whole environment as it was. Secrets
 * are then never parsed as flags, and an environment set up for instances does
 * not make other commands fail.
 */
export function filterEnvironment(words: readonly string[]): NodeJS.ProcessEnv {
  const env = {...process.env};
  for (const name of Object.keys(env)) {
    if (name.startsWith('GYPSUMCOURSE_') && !isRead(name, words)) {
      delete process.env[name];
    }
  }
  return env;
}

function isRead(name: string, words: readonly string[]): boolean {
  if (SECRET_VARIABLES.includes(name.replace(/_FILE$/, ''))) return false;
  if (words[0] === 'serve') return true;
  const command = words.join(' ');
  return COMMAND_VARIABLES.some(
    item => item.command.test(command) && item.names.includes(name),
  );
}

function readSecrets(env: NodeJS.ProcessEnv): Secrets {
  const peer = readSecret(env, 'GYPSUMCOURSE_PEER_SECRETS') ?? '';
  const operator = readSecret(env, 'GYPSUMCOURSE_OPERATOR_SECRET');
  const order = readSecret(env, 'GYPSUMCOURSE_ORDER_TOKEN');
  return {
    peerSecrets: peer.split(',').filter(secret => secret !== ''),
    ...(operator === undefined ? {} : {operatorSecret: operator}),
    ...(order === undefined ? {} : {orderToken: order}),
  };
}

/** The operator secret of the environment, if there is one. */
export function operatorSecret(env: NodeJS.ProcessEnv): string | undefined {
  return readSecret(env, 'GYPSUMCOURSE_OPERATOR_SECRET');
}

function readSecret(env: NodeJS.ProcessEnv, name: string): string | undefined {
  const file = env[`${name}_FILE`];
  if (file !== undefined) return readFileSync(file, 'utf8').trim();
  return env[name];
}
