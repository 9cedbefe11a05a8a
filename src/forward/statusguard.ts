import type {Dispatcher} from 'undici';

/** Status of a change of protocol, which no request here asks for. */
const SWITCHING_PROTOCOLS = 101;

/** Whether a status is that of an interim response, which another one follows. */
export function isInterim(status: number): boolean {
  return status >= 100 && status < 200 && status !== SWITCHING_PROTOCOLS;
}

/** Whether a status may end an exchange (RFC 9110, section 15). */
export function isFinal(status: number): boolean {
  return status >= 200 && status < 600;
}

/**
 * Breaks off responses whose status HTTP doesn't have, which its parser lets
 * pass. The handler gets them as failures of the connection.
 */
export class StatusGuard implements Dispatcher.DispatchHandler {
  constructor(private readonly handler: Dispatcher.DispatchHandler) {}

  onRequestStart(
    controller: Dispatcher.DispatchController,
    context: unknown,
  ): void {
    this.handler.onRequestStart?.(controller, context);
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[] | undefined>,
    statusMessage?: string,
  ): void {
    if (isInterim(status)) return;
    if (isFinal(status)) {
      this.handler.onResponseStart?.(
        controller,
        status,
        headers,
        statusMessage,
      );
    } else controller.abort(new InvalidStatus(status));
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    this.handler.onResponseData?.(controller, chunk);
  }

  onResponseEnd(
    controller: Dispatcher.DispatchController,
    trailers: Record<string, string | string[] | undefined>,
  ): void {
    this.handler.onResponseEnd?.(controller, trailers);
  }

  onResponseError(
    controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    this.handler.onResponseError?.(controller, error);
  }
}

/** An upstream answered with a status outside of 200 to 599. */
class InvalidStatus extends Error {
  override name = 'InvalidStatus';

  constructor(status: number) {
    super(`a response with status ${String(status).padStart(3, '0')}`);
  }
}
