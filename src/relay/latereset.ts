/**
 * Requests up to this size, in bytes, fit into the initial congestion window of
 * TCP (RFC 6928), so that they are sent at once. Of a longer one a part may not
 * have been taken yet when the answer ends.
 */
export const LONG_REQUEST_BYTES = 14_600;
/**
 * Time from the end of a connection in order within which a reset is awaited, in
 * ms. An upstream that ends its answer and then closes without having read the
 * request resets the connection only as it closes.
 */
export const LATE_RESET_MS = 250;
