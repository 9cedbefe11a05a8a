import {createHash} from 'node:crypto';
import {loopbackAddress} from '../../stand-ins/loopback.js';

/** Bounds of the platform's example deployment, in ms. */
export const BOUNDS = {
  /** Time without a disruption after which bounds hold for an instance. */
  stableWindowMs: 4_000,
  /** Time in which a leaving upstream stops getting requests. */
  drainMs: 2_500,
  /** Time in which what an upstream sent has passed a gateway. */
  passMs: 250,
  /** Time from SIGTERM to SIGKILL. */
  graceMs: 8_000,
  /** Time in which an acknowledged configuration is in force. */
  configApplyMs: 2_500,
  /** Time for which an instance may still act by an older version. */
  downgradeSlackMs: 250,
  slowedDowngradeSlackMs: 2_000,
  /** Time after the last fault in which everything is served again. */
  recoveryMs: 12_000,
  heartbeatMs: 1_200,
} as const;

/** Kinds of request; each has a route whose path prefix is its name. */
export enum RequestKind {
  Idempotent = 'look',
  NonIdempotent = 'order',
  /** Idempotent, on a route that needs no key. */
  Public = 'open',
  Streaming = 'stream',
  Resumable = 'resume',
}

/** Services that upstreams belong to. */
export enum ServiceName {
  Plain = 'plain',
  Streams = 'streams',
}

export const HOST = 'soak.example';
/** Topic in which upstreams register themselves. */
export const UPSTREAMS_TOPIC = 'keyed.servers';
/** Last number of the address of the upstreams; those of gateways are above. */
const UPSTREAM_ADDRESS = 5;
const FIRST_GATEWAY_ADDRESS = 10;

/**
 * Loopback address of a gateway, unlike those of other soaks that run: a port
 * that one of them closes may be another one's next.
 */
export function addressOf(gateway: number): string {
  return loopbackAddress(FIRST_GATEWAY_ADDRESS + gateway);
}

/** Loopback address of the upstreams, unlike those of other soaks that run. */
export function upstreamAddress(): string {
  return loopbackAddress(UPSTREAM_ADDRESS);
}

/** Time for which callers wait for the end of an answer, in ms. */
export const PATIENCE_MS = 2_500;
export const WORKSPACES = ['alpha', 'beta'] as const;

/** Whether a request may run only once. */
export function runsOnce(kind: RequestKind): boolean {
  return kind === RequestKind.NonIdempotent || kind === RequestKind.Streaming;
}

/** Whether the answer is a stream of events. */
export function isStream(kind: RequestKind): boolean {
  return kind === RequestKind.Streaming || kind === RequestKind.Resumable;
}

export function serviceOf(kind: RequestKind): ServiceName {
  return isStream(kind) ? ServiceName.Streams : ServiceName.Plain;
}

/** A key that is in every configuration. */
export function lastingKeyOf(workspace: string): string {
  return `${workspace}-lasting`;
}

/** One version of the operator's configuration. */
export interface Configuration {
  version: number;
  /** The workspace of each key. */
  keys: ReadonlyMap<string, string>;
}

/** The record that puts a configuration in force. */
export function encodeConfiguration({version, keys}: Configuration): Buffer {
  const routes = Object.values(RequestKind).map(kind => ({
    name: kind,
    host: HOST,
    pathPrefix: `/${kind}/`,
    kind: isStream(kind)
      ? 'streaming'
      : runsOnce(kind)
        ? 'non_idempotent'
        : 'idempotent',
    resumable: kind === RequestKind.Resumable,
    timeoutMs: PATIENCE_MS,
    targetLatencyMs: 500,
    service: serviceOf(kind),
    maxAttempts: 3,
    public: kind === RequestKind.Public,
  }));
  // The name of a workspace, which upstreams see, tells the version in force.
  const tenants = WORKSPACES.map(workspace => ({
    name: `${workspace}.${version}`,
    apiKeys: [...keys.keys()].filter(key => keys.get(key) === workspace),
  }));
  const services = Object.values(ServiceName).map(name => ({
    name,
    maxConnections: 60,
  }));
  const limits = {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 1_000_000,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  };
  return Buffer.from(
    JSON.stringify({version, routes, services, limits, tenants}),
  );
}

/** Text of a given size that depends on `seed` all along. */
export function textOf(seed: string, size: number): string {
  const unit = `${createHash('sha1').update(seed).digest('hex')} ${seed}\n`;
  return unit.repeat(Math.ceil(size / unit.length)).slice(0, size);
}

/** Data of an event in the stream that answers a request. */
export function eventDataOf(
  request: string,
  event: number,
  softwareVersion = 'v1',
): string {
  return `${request} ${event} ${softwareVersion}`;
}

/** Software version of the upstream that wrote an event. */
export function softwareVersionIn(data: string): string {
  return data.split(' ').at(-1) ?? '';
}
