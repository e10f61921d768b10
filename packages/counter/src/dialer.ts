import type { Socket } from 'node:net';
import { buildConnector } from 'undici';

const CONNECT_TIMEOUT_MS = 300;
/** How far a connection attempt may overrun its time-out, since timers fire late, and still be used. */
const MAX_OVERRUN_MS = 200;

/**
 * Opens connections for undici and remembers which errors came from connecting: only these prove that the server
 * received nothing. Invariant: a connection that took longer than the time-out, for example because this process was
 * suspended, is never used.
 */
export const Dialer = {
  make(
    onConnect: (socket: Socket) => void,
    timeoutMs = CONNECT_TIMEOUT_MS,
    mono: () => number = () => performance.now(),
  ) {
    const connectErrors = new WeakSet<object>();
    const dial = buildConnector({ timeout: timeoutMs });
    const connect: buildConnector.connector = (options, callback) => {
      const startedAtMs = mono();
      const fail = (error: Error): void => {
        connectErrors.add(error);
        callback(error, null);
      };
      dial(options, (error, connected) => {
        if (error) {
          fail(error);
          return;
        }
        const socket = connected;
        if (mono() - startedAtMs > timeoutMs + MAX_OVERRUN_MS) {
          socket.destroy();
          fail(
            Object.assign(new Error('Connecting took longer than the time-out.'), { code: 'UND_ERR_CONNECT_TIMEOUT' }),
          );
          return;
        }
        onConnect(socket);
        callback(null, socket);
      });
    };
    return {
      connect,
      isConnectError: (error: unknown): boolean =>
        typeof error === 'object' && error !== null && connectErrors.has(error),
    };
  },
};
