import type {Datagrams, InstanceAddress, Peers} from '../fleet/index.js';
import type {Timer} from '../timer/index.js';
import {holdersOf} from './holders.js';
import type {OriginRecord} from './originlog.js';
import {TELL_METHOD, type TellMessage} from './originmessage.js';

/** Time to wait for a peer to confirm what it was told, by attempt, in ms. */
const TELL_TIMEOUTS_MS = [80, 220, 500];
/** Most streams in one message, which has to fit into a datagram. */
const MAX_TOLD_STREAMS = 200;
/** Dependencies of [[OriginTeller]]. */
export interface OriginTellerParts {
  /** Name of this instance. */
  name: string;
  /** Availability zone of this instance. */
  zone: string;
  peers: Peers;
  datagrams: Datagrams;
  timer: Timer;
}

/** Tells other instances where streams began. */
export class OriginTeller {
  private hasEnded = false;

  constructor(private readonly parts: OriginTellerParts) {}

  /**
   * Tells the holders of streams. Sent at once, before an event of a new stream
   * reaches its caller, so that the holders know it even if this instance ends.
   */
  tell(records: readonly OriginRecord[]): void {
    const {peers} = this.parts;
    if (peers.areDirect) {
      for (const address of peers.all()) this.tellPeer(address, records);
      return;
    }
    const byHolder = new Map<string, OriginRecord[]>();
    for (const record of records) {
      for (const holder of holdersOf(record.key, peers, this.parts)) {
        const held = byHolder.get(holder) ?? [];
        held.push(record);
        byHolder.set(holder, held);
      }
    }
    for (const [holder, held] of byHolder) {
      const address = peers.addressOf(holder);
      if (address !== undefined) this.tellPeer(address, held);
    }
  }

  private tellPeer(
    address: InstanceAddress,
    records: readonly OriginRecord[],
  ): void {
    for (let at = 0; at < records.length; at += MAX_TOLD_STREAMS) {
      void this.tellSome(address, records.slice(at, at + MAX_TOLD_STREAMS));
    }
  }

  /** Tells a peer, again if it doesn't confirm; messages may be lost. */
  private async tellSome(
    address: InstanceAddress,
    records: readonly OriginRecord[],
  ): Promise<void> {
    const {datagrams, timer} = this.parts;
    for (const timeoutMs of TELL_TIMEOUTS_MS) {
      if (this.hasEnded) return;
      const message = tellMessageOf(records, timer.now());
      const result = await datagrams.call(
        address,
        TELL_METHOD,
        message,
        timeoutMs,
      );
      if (result.isOk()) return;
    }
  }

  /** Ends the telling. */
  end(): void {
    this.hasEnded = true;
  }
}

/** A message that tells of streams, grouped by their origin. */
function tellMessageOf(
  records: readonly OriginRecord[],
  now: number,
): TellMessage {
  const groups = new Map<string, TellMessage['groups'][number]>();
  for (const {key, origin, expiresAt} of records) {
    const name = JSON.stringify([origin.service, origin.softwareVersion]);
    const group = groups.get(name) ?? {...origin, streams: []};
    group.streams.push([key, Math.max(0, Math.round(expiresAt - now))]);
    groups.set(name, group);
  }
  return {groups: [...groups.values()]};
}
