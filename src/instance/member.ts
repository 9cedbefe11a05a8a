/** State of a member, as another instance knows it. */
export enum MemberState {
  Alive = 'alive',
  /** Did not answer probes; may be paused, unreachable or crashed. */
  Suspect = 'suspect',
  /** Shuts down and takes no new requests. */
  Leaving = 'leaving',
  /** Has ended; only a higher incarnation makes it alive again. */
  Dead = 'dead',
}

/** Configuration version and load of a member, sent with gossip messages. */
export interface MemberStatus {
  /** Version of the configuration that the member applies; 0 if none. */
  configurationVersion: number;
  /** Lowest priority tier that the member sheds; undefined if none. */
  shedTier?: number | undefined;
  /** Requests that wait in its queue. */
  queued: number;
  /** Requests that it runs. */
  running: number;
}

/** One instance of the fleet, as another instance knows it. */
export interface Member {
  /** Name from the settings; unique in the fleet. */
  name: string;
  /** Grows with every start of the instance; lower ones are ignored. */
  incarnation: number;
  zone: string;
  /** Address at which peers reach it, over TCP and UDP. */
  host: string;
  port: number;
  state: MemberState;
  status: MemberStatus;
}

/** The instances of the fleet, as this instance knows them. */
export interface Membership {
  /** This instance. */
  self(): Member;
  /** Members that are alive or suspect, this instance included. */
  live(): Member[];
  /** All known members, with dead and leaving ones that are still kept. */
  all(): Member[];
  /** Changes fields of the status that this instance sends to its peers. */
  updateStatus(status: Partial<MemberStatus>): void;
  /** Subscribes to changes of members' state or status. */
  subscribe(listener: (member: Member) => void): void;
}
