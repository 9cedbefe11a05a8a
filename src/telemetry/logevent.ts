/**
 * The `event` field of the gateway's log lines. Every value is described in
 * docs/LOGS.md.
 */
export enum LogEvent {
  /** An answer of an upstream was broken off here. */
  AnswerFault = 'answerFault',
  /** An answer cleared prompt parts under suspicion of crashing upstreams. */
  Cleared = 'cleared',
  /** A configuration was applied or ignored. */
  Configuration = 'configuration',
  /** An upstream crashed while it began to answer. */
  Crash = 'crash',
  /** An internal error: something failed that must not fail. */
  Defect = 'defect',
  /** A request ended. */
  Ended = 'ended',
  /** Probes showed whether an upstream crashed that broke off answers. */
  Examined = 'examined',
  /** An upstream was taken out of use. */
  Health = 'health',
  /** A request was refused for a part of its prompt. */
  Held = 'held',
  /** A prompt part was held or released. */
  Hold = 'hold',
  /** The event loop was late, but not as late as in a stall. */
  Lag = 'lag',
  /** An upstream announced that it leaves, in its entry or in a response. */
  Leaving = 'leaving',
  /** The instance became cut off from all upstreams, or reaches them again. */
  Isolated = 'isolated',
  /** An upstream's declared rate began, changed or ended, or is invalid. */
  Limit = 'limit',
  /** A request was rejected because its wait was, or would be, too long. */
  Overloaded = 'overloaded',
  /** A pause that an upstream asks for began or ended. */
  Pause = 'pause',
  /** Another instance announced itself, or an announcement failed. */
  Peer = 'peer',
  /** A request was assigned to an upstream. */
  Placed = 'placed',
  /** A request waits for its turn, as a part of its prompt may crash upstreams. */
  Rationed = 'rationed',
  /** This instance became ready or stopped being ready. */
  Readiness = 'readiness',
  /** A connection to an upstream was opened through another instance. */
  Relayed = 'relayed',
  /** The settings were reloaded. */
  Reloaded = 'reloaded',
  /** A request is retried on another upstream. */
  Repeats = 'repeats',
  /** A request was sent to an upstream once more. */
  Resent = 'resent',
  /** A caller takes up a stream that another request began. */
  Resumed = 'resumed',
  /** An upstream sends nothing during an attempt. */
  Silent = 'silent',
  /** The process was suspended or its event loop was blocked. */
  Stall = 'stall',
  Started = 'started',
  Stopped = 'stopped',
  Stopping = 'stopping',
  /** The store became unreachable or reachable, or a topic was reread. */
  Store = 'store',
  /** A caller sent an invalid request, or none before the timeout. */
  Unreadable = 'unreadable',
  /** The known registry entry of an upstream changed. */
  Upstream = 'upstream',
  /** A request waits for an upstream. */
  Waits = 'waits',
}
