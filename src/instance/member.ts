/** What an instance knows of a peer's condition. */
export enum MemberState {
  Alive = 'alive',
  /** Did not answer probes; may be paused or cut off. */
  Suspect = 'suspect',
  /** Shuts down; takes no new work. */
  Leaving = 'leaving',
  /** Gone; only a higher incarnation brings it back. */
  Dead = 'dead',
}

/** Small facts an instance tells all its peers along with its heartbeats. */
export interface MemberStatus {
  /** Version of the configuration in force there. */
  configurationVersion: number;
  /** Lowest priority tier that is shed there; undefined if none is. */
  shedTier?: number | undefined;
  /** Requests waiting there. */
  queued: number;
  /** Requests running there. */
  running: number;
}

/** One instance of the fleet, as another instance sees it. */
export interface Member {
  /** Name from the settings. */
  name: string;
  /** Grows with every start of the instance; older ones are refused. */
  incarnation: number;
  zone: string;
  /** Address for peers, TCP and UDP alike. */
  host: string;
  port: number;
  state: MemberState;
  status: MemberStatus;
}

/** The instances of the fleet, as this instance sees them. */
export interface Membership {
  /** This instance. */
  self(): Member;
  /** Members that are alive or suspect, this instance included. */
  live(): Member[];
  /** Every member still remembered, dead and leaving ones included. */
  all(): Member[];
  /** Changes what this instance tells its peers of itself. */
  updateStatus(status: Partial<MemberStatus>): void;
  /** Subscribes to changes of members' state or status. */
  subscribe(listener: (member: Member) => void): void;
}
