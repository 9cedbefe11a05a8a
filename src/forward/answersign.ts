/** How far the answer to a request came that its upstream survived. */
export enum AnswerSign {
  /** A complete event of a stream. */
  Event = 'event',
  /** A whole success. */
  Success = 'success',
  /** Another whole answer below 500, which concerns the request. */
  Rejection = 'rejection',
}
