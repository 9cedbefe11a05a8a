import {randomBytes} from 'node:crypto';
import {readFileSync} from 'node:fs';
import type {ConfigurationDraft} from '../config/index.js';
import {CONFIGURATION_STREAM} from '../config/index.js';
import {checkSettings} from '../instance/index.js';
import {openStderrLogger, type Level} from '../telemetry/index.js';
import {startRouter, type Router} from '../wiring/index.js';
import {
  startEngine,
  startLog,
  startService,
  type StandIn,
} from '../../stand-ins/index.js';
import {ExitCode, exitWithError} from './exit.js';

const SECRET_BYTES = 16;

/** A router with stand-ins for everything around it, in one process. */
export interface EmbeddedRouter {
  router: Router;
  /** URL callers reach the router at. */
  url: string;
  document: ConfigurationDraft;
  stop(): Promise<void>;
}

/** How an embedded router is reached. */
export interface EmbeddedOptions {
  /** Port for callers; 0 picks a free one. */
  port: number;
  logLevel: Level;
  /** Opens the operators' listener, on a free port. */
  operatorSecret?: string;
}

/**
 * Starts a router with an embedded log, engines and services on ephemeral
 * ports, and publishes `document` with its upstreams replaced by them.
 */
export async function startEmbedded(
  document: ConfigurationDraft,
  options: EmbeddedOptions,
): Promise<EmbeddedRouter> {
  const log = await startLog();
  const standIns: StandIn[] = [log];
  const pools = [];
  for (const pool of document.pools) {
    const upstreams = [];
    for (const upstream of pool.upstreams) {
      const standIn = await (pool.kind === 'runner'
        ? startEngine()
        : startService());
      standIns.push(standIn);
      upstreams.push({...upstream, url: standIn.url});
    }
    pools.push({...pool, upstreams});
  }
  const local = {...document, pools};
  const settings = checkSettings({
    instance: 'dev',
    zone: document.zones[0]?.name,
    port: options.port,
    peerPort: 0,
    operatorPort: 0,
    operatorSecret: options.operatorSecret,
    logUrl: log.url,
    logLevel: options.logLevel,
  });
  if (settings.isErr()) exitWithError(ExitCode.Usage, 'bad settings');
  const router = await startRouter(
    settings.value,
    openStderrLogger(options.logLevel),
  );
  await publish(log.url, local);
  const url = `http://127.0.0.1:${router.port}`;
  await untilReady(url);
  return {
    router,
    url,
    document: local,
    stop: async () => {
      await router.stop();
      await Promise.all(standIns.map(standIn => standIn.close()));
    },
  };
}

async function publish(logUrl: string, document: unknown): Promise<void> {
  await fetch(`${logUrl}/streams/${CONFIGURATION_STREAM}/records`, {
    method: 'POST',
    body: JSON.stringify({type: 'submission', id: 'first', base: 0, document}),
  });
}

async function untilReady(url: string): Promise<void> {
  const end = Date.now() + 10_000;
  while (Date.now() < end) {
    const answer = await fetch(`${url}/readyz`);
    if (answer.ok) return;
    await new Promise(resolve => setTimeout(resolve, 10));
  }
  exitWithError(ExitCode.Unavailable, 'the router did not become ready');
}

/** Runs an embedded router until the process is told to stop. */
export async function dev(
  file: string,
  options: EmbeddedOptions,
): Promise<void> {
  const operatorSecret =
    options.operatorSecret ?? randomBytes(SECRET_BYTES).toString('hex');
  const document = JSON.parse(readFileSync(file, 'utf8')) as ConfigurationDraft;
  const embedded = await startEmbedded(document, {...options, operatorSecret});
  const workspace = document.workspaces[0]?.name ?? '';
  process.stdout.write(
    `Serving ${document.name} at ${embedded.url}. Workspace keys are ` +
      `demo-key-WORKSPACE, such as demo-key-${workspace}.\n` +
      `Console at http://127.0.0.1:${embedded.router.operatorPort ?? 0}, ` +
      `with operator secret ${operatorSecret}.\n`,
  );
  const stop = () => {
    void embedded.stop().then(() => process.exit(ExitCode.Success));
  };
  process.once('SIGINT', stop);
  process.once('SIGTERM', stop);
}
