import {z} from 'zod';
import type {TrafficMeter} from '../platform/index.js';
import type {DatagramPort} from './datagram.js';
import type {PeerAddress, PeerClient, PeerServer} from './peerrpc.js';

const USAGE_METHOD = 'fleet.usage';
const CALL_TIMEOUT_MS = 5_000;

const trafficSchema = z.object({bytesOut: z.number(), bytesIn: z.number()});

const usageSchema = z.object({
  /** Datagrams between instances, with the headers of UDP and IP. */
  datagrams: trafficSchema,
  /** Datagrams that were not authentic. */
  refusedDatagrams: z.number(),
  /** Calls to other instances over TCP, and theirs to this one. */
  peerCalls: trafficSchema,
  /** Log, list and weight store. */
  platform: trafficSchema,
  /** Processor time of the process, user and system, in ms. */
  cpuMs: z.number(),
  residentBytes: z.number(),
  heapBytes: z.number(),
  uptimeMs: z.number(),
});

/** What a process has spent on control since it started, and in total. */
export type ResourceUsage = z.output<typeof usageSchema>;

/** The parts that count what they move. */
export interface UsageSources {
  datagrams: DatagramPort;
  client: PeerClient;
  server: PeerServer;
  /** Counts connections to the platform. */
  platform: TrafficMeter;
}

/** Reads the counters of this process. */
export function readOwnUsage(parts: UsageSources): ResourceUsage {
  const {bytesOut, bytesIn, refused} = parts.datagrams.usage;
  const client = parts.client.meter.read();
  const server = parts.server.meter.read();
  const {user, system} = process.cpuUsage();
  const {rss, heapUsed} = process.memoryUsage();
  return {
    datagrams: {bytesOut, bytesIn},
    refusedDatagrams: refused,
    peerCalls: {
      bytesOut: client.bytesOut + server.bytesOut,
      bytesIn: client.bytesIn + server.bytesIn,
    },
    platform: parts.platform.read(),
    cpuMs: (user + system) / 1_000,
    residentBytes: rss,
    heapBytes: heapUsed,
    uptimeMs: process.uptime() * 1_000,
  };
}

/** Answers peers and operators' tools with the counters of this process. */
export function serveUsage(parts: UsageSources): void {
  parts.server.handle(USAGE_METHOD, () => Promise.resolve(readOwnUsage(parts)));
}

/** Asks an instance for its counters; undefined without an answer. */
export async function fetchUsage(
  client: PeerClient,
  instance: PeerAddress,
): Promise<ResourceUsage | undefined> {
  const answer = await client.call(instance, USAGE_METHOD, {}, CALL_TIMEOUT_MS);
  const parsed = usageSchema.safeParse(answer.unwrapOr(undefined));
  return parsed.success ? parsed.data : undefined;
}
