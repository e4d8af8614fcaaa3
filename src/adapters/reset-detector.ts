/**
 * Detects how connections end while an answer is read. undici treats a reset as the end of an answer without a
 * length, although such an answer is incomplete. The detector's listeners are prepended, so they run before undici's.
 */
import type { Socket } from 'node:net';
import { buildConnector, type Dispatcher } from 'undici';

type HandlerParameters<Name extends keyof Dispatcher.DispatchHandler> = Parameters<
  Required<Dispatcher.DispatchHandler>[Name]
>;

/** Detects resets on every connection that its connectors open. */
export class ResetDetector {
  private handlingReset = false;
  private endingSocket: Socket | undefined;
  private readonly connect: buildConnector.connector;

  /** @param connectTimeoutMs a connection attempt that takes longer fails; milliseconds */
  constructor(connectTimeoutMs: number) {
    this.connect = buildConnector({ timeout: connectTimeoutMs });
  }

  /**
   * Creates a connector that reports each connection that was established. `connect` opens them; the default connects
   * directly.
   */
  createConnector(
    onConnected: (socket: Socket) => void = () => undefined,
    connect = this.connect,
  ): buildConnector.connector {
    return (options, callback) => {
      connect(options, (...outcome) => {
        const [, socket] = outcome;
        if (socket) {
          this.addListeners(socket);
          onConnected(socket);
        }
        callback(...outcome);
      });
    };
  }

  /**
   * Creates an interceptor by which an answer whose connection is reset fails. It is for dispatchers whose connections
   * come from this detector's connectors.
   */
  createInterceptor(): Dispatcher.DispatcherComposeInterceptor {
    return (dispatch) => (options, handler) => dispatch(options, new ResetHandler(handler, this));
  }

  /** Whether the current callback of a handler was caused by an error of its connection. */
  isHandlingReset(): boolean {
    return this.handlingReset;
  }

  /** The connection whose end caused the current callback of a handler; undefined for other callbacks. */
  getEndingSocket(): Socket | undefined {
    return this.endingSocket;
  }

  private addListeners(socket: Socket): void {
    socket.prependListener('end', () => {
      this.endingSocket = socket;
      process.nextTick(() => (this.endingSocket = undefined));
    });
    socket.prependListener('error', () => {
      this.handlingReset = true;
      process.nextTick(() => (this.handlingReset = false));
    });
  }
}

/** Passes on the callbacks of one request, but an end that is reported because of a reset as a failure. */
class ResetHandler implements Dispatcher.DispatchHandler {
  constructor(
    private readonly handler: Dispatcher.DispatchHandler,
    private readonly detector: ResetDetector,
  ) {}

  onRequestStart(...start: HandlerParameters<'onRequestStart'>): void {
    this.handler.onRequestStart?.(...start);
  }

  onRequestUpgrade(...upgrade: HandlerParameters<'onRequestUpgrade'>): void {
    this.handler.onRequestUpgrade?.(...upgrade);
  }

  onResponseStart(...head: HandlerParameters<'onResponseStart'>): void {
    this.handler.onResponseStart?.(...head);
  }

  onResponseData(...data: HandlerParameters<'onResponseData'>): void {
    this.handler.onResponseData?.(...data);
  }

  onResponseEnd(...end: HandlerParameters<'onResponseEnd'>): void {
    if (!this.detector.isHandlingReset()) this.handler.onResponseEnd?.(...end);
    else this.onResponseError(end[0], new Error('reset before the end of the answer'));
  }

  onResponseError(...error: HandlerParameters<'onResponseError'>): void {
    this.handler.onResponseError?.(...error);
  }
}
