import type { Socket } from 'node:net';
import { buildConnector } from 'undici';

const CONNECT = 300;
const SLACK = 200;

/**
 * Makes connections, and remembers which errors came of making one: only those prove that nothing was heard.
 * Invariant: a connection that took longer than it may, as one does while this process is frozen, is never used.
 */
export const Dialer = {
  make(met: (s: Socket) => void, ms = CONNECT, mono: () => number = () => performance.now()) {
    const failed = new WeakSet<object>();
    const dial = buildConnector({ timeout: ms });
    const connect: buildConnector.connector = (o, done) => {
      const from = mono();
      const fail = (e: Error): void => {
        failed.add(e);
        done(e, null);
      };
      dial(o, (e, s) => {
        if (e) {
          fail(e);
          return;
        }
        const sock = s;
        if (mono() - from > ms + SLACK) {
          sock.destroy();
          fail(Object.assign(new Error('The connection took too long.'), { code: 'UND_ERR_CONNECT_TIMEOUT' }));
          return;
        }
        met(sock);
        done(null, sock);
      });
    };
    return { connect, unmade: (e: unknown): boolean => typeof e === 'object' && e !== null && failed.has(e) };
  },
};
