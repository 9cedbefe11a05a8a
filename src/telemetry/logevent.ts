/** What a log line of the gateway tells. The set is closed; see docs/LOGS.md. */
export enum LogEvent {
  /** A configuration was put in force or ignored. */
  Configuration = 'configuration',
  /** Something failed that should not be able to. */
  Defect = 'defect',
  /** A request ended. */
  Ended = 'ended',
  /** An upstream was taken out of use. */
  Health = 'health',
  /** A request was refused since it would wait, or has waited, for too long. */
  Overloaded = 'overloaded',
  /** Another instance announced itself, or could not be told. */
  Peer = 'peer',
  /** A request was given an upstream. */
  Placed = 'placed',
  /** This instance became ready, or no longer is. */
  Readiness = 'readiness',
  /** Settings were read again. */
  Reloaded = 'reloaded',
  /** A request goes to another upstream. */
  Repeats = 'repeats',
  /** The process stood still. */
  Stall = 'stall',
  Started = 'started',
  Stopped = 'stopped',
  Stopping = 'stopping',
  /** The store was lost or regained, or a topic was read anew. */
  Store = 'store',
  /** A caller sent bytes that are no request, or none in time. */
  Unreadable = 'unreadable',
  /** What is believed of an upstream's entry changed. */
  Upstream = 'upstream',
  /** A request waits for an upstream. */
  Waits = 'waits',
}
