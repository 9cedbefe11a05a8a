import type {Socket} from 'node:net';
import {buildConnector, Client, type Dispatcher} from 'undici';
import {boundUnreadBytes} from '../forward/unreadbytes.js';

/** Code of the system's error for a reset. */
const RESET_CODE = 'ECONNRESET';
/** Takes its place while the response is paused. */
const PAUSED_RESET_CODE = 'ERR_RESET_WHILE_PAUSED';

/**
 * Opens HTTP clients of one connection at a time that survive its end while the
 * reading of a response is paused. At the end, undici finishes its parser, which
 * asserts in a listener of the socket that it isn't paused.
 */
export function openGuardedClient(
  origin: string | URL,
  {connect, ...options}: Client.Options,
): Dispatcher.ComposedDispatcher {
  const guard = new PauseGuard();
  const open =
    typeof connect === 'function' ? connect : buildConnector({...connect});
  return new Client(origin, {
    ...options,
    connect: (target, callback) => {
      open(target, (...result) => {
        if (result[0] === null) guard.watch(result[1]);
        callback(...result);
      });
    },
  }).compose(
    dispatch => (request, handler) =>
      dispatch(request, new GuardedHandler(handler, guard)),
  );
}

/** Ends the pause of a response when its connection ends. */
class PauseGuard {
  private paused?: Dispatcher.DispatchController;

  pause(controller: Dispatcher.DispatchController): void {
    this.paused = controller;
    controller.pause();
  }

  resume(): void {
    const {paused} = this;
    delete this.paused;
    paused?.resume();
  }

  /** To be called before the HTTP client listens to the socket. */
  watch(socket: Socket): void {
    boundUnreadBytes(socket);
    // All bytes have been read at the end.
    socket.on('end', () => this.resume());
    // With any other code, the response fails and the parser isn't finished.
    socket.on('error', (error: NodeJS.ErrnoException) => {
      if (this.paused === undefined || error.code !== RESET_CODE) return;
      error.code = PAUSED_RESET_CODE;
    });
  }
}

/** Lets a handler pause its response by way of a [[PauseGuard]]. */
class GuardedHandler implements Dispatcher.DispatchHandler {
  private controller?: Dispatcher.DispatchController;

  constructor(
    private readonly handler: Dispatcher.DispatchHandler,
    private readonly guard: PauseGuard,
  ) {}

  onRequestStart(
    controller: Dispatcher.DispatchController,
    context: unknown,
  ): void {
    this.handler.onRequestStart?.(this.guarded(controller), context);
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[] | undefined>,
    statusMessage?: string,
  ): void {
    this.handler.onResponseStart?.(
      this.guarded(controller),
      status,
      headers,
      statusMessage,
    );
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    // A parser that is resumed at the end passes on nothing.
    if (chunk.length === 0) return;
    this.handler.onResponseData?.(this.guarded(controller), chunk);
  }

  onResponseEnd(
    controller: Dispatcher.DispatchController,
    trailers: Record<string, string | string[] | undefined>,
  ): void {
    this.handler.onResponseEnd?.(this.guarded(controller), trailers);
  }

  onResponseError(
    controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    this.handler.onResponseError?.(this.guarded(controller), error);
  }

  private guarded(
    controller: Dispatcher.DispatchController,
  ): Dispatcher.DispatchController {
    this.controller ??= new GuardedController(controller, this.guard);
    return this.controller;
  }
}

class GuardedController implements Dispatcher.DispatchController {
  constructor(
    private readonly controller: Dispatcher.DispatchController,
    private readonly guard: PauseGuard,
  ) {}

  get aborted(): boolean {
    return this.controller.aborted;
  }

  get paused(): boolean {
    return this.controller.paused;
  }

  get reason(): Error | null {
    return this.controller.reason;
  }

  get rawHeaders() {
    return this.controller.rawHeaders;
  }

  get rawTrailers() {
    return this.controller.rawTrailers;
  }

  abort(reason: Error): void {
    this.controller.abort(reason);
  }

  pause(): void {
    this.guard.pause(this.controller);
  }

  resume(): void {
    this.guard.resume();
  }
}
