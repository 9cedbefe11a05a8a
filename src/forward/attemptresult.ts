import type {ResponseHead} from './protocol.js';

/** Status and headers of an upstream's response, with its framing. */
export interface ReceivedHead extends ResponseHead {
  status: number;
  /** Whether HTTP delimits the body; otherwise it ends with its connection. */
  framed: boolean;
}

/** A complete response that was not streamed to the caller. */
export interface BufferedResponse {
  head: ReceivedHead;
  body: Buffer;
}

/** How much of its answer a broken attempt received. */
export enum AnswerProgress {
  /** No head of a successful answer to the request. */
  None = 'none',
  /** Such a head, but neither a complete event nor a whole body. */
  Begun = 'begun',
  /** At least one complete event. */
  Advanced = 'advanced',
}

/** What ended a broken attempt. */
export enum BreakCause {
  /**
   * The upstream closed or reset the connection, or sent bytes that are invalid
   * or too many.
   */
  Upstream = 'upstream',
  /** The attempt was aborted here. */
  Abort = 'abort',
}

/** How an attempt ended. */
export type AttemptResult =
  /** No part of the request reached the upstream. */
  | {type: 'unsent'; cause: string}
  /** It was not sent, since the upstream asked for a pause meanwhile. */
  | {type: 'withheld'}
  /** It was not sent, since another process may be at the upstream's address. */
  | {type: 'misplaced'}
  /** The upstream reported that it did not run the request. */
  | {type: 'refused'; status: number}
  /** A complete response that was not passed to the sink. */
  | {
      type: 'whole';
      answer: BufferedResponse;
      /** Whether the upstream asks for a pause in it. */
      asksForPause: boolean;
    }
  /** The sink received the complete response. */
  | {type: 'delivered'; head: ReceivedHead}
  /**
   * The sink received what may be the complete response or a part of it, as
   * nothing shows who ended it.
   */
  | {type: 'doubtful'; head: ReceivedHead; cause: string}
  /**
   * The attempt failed and the upstream may have run the request. `started`:
   * whether a part of the response went to the sink.
   */
  | {
      type: 'broken';
      cause: string;
      started: boolean;
      /** Concerns this attempt alone, also if it continues a stream. */
      progress: AnswerProgress;
      endedBy: BreakCause;
    };

/** The head of a complete answer; undefined if there is none. */
export function headOf(result: AttemptResult): ReceivedHead | undefined {
  switch (result.type) {
    case 'whole':
      return result.answer.head;
    case 'delivered':
    case 'doubtful':
      return result.head;
    case 'unsent':
    case 'withheld':
    case 'misplaced':
    case 'refused':
    case 'broken':
      return undefined;
  }
}
