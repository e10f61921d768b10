import { connect, type Socket } from 'node:net';
import { Err } from './err.js';
import { Framer } from './framer.js';
import type { Log } from './log.js';
import { Ok } from './ok.js';
import type { Result } from './result.js';
import type { Wire } from './wire.js';
import type { RequestError } from './requesterror.js';

type Connection = {
  sock: Socket;
  /** Settles with whether the connection was made. */
  ready: Promise<boolean>;
  /** The requests that wait for a reply, by sequence number. */
  waits: Map<number, (reply: Result<unknown, RequestError>) => void>;
};
const splitAddress = (addr: string): { host: string; port: number } => {
  const i = addr.lastIndexOf(':');
  return { host: addr.slice(0, i).replace(/^\[|\]$/g, ''), port: Number(addr.slice(i + 1)) };
};

/**
 * The client side of the TCP transport: one connection to each peer, with many concurrent requests on it.
 * Invariant: 'unsent' is returned only if no byte of the message was written.
 */
export const TcpClient = {
  /** The host and port of an address; an IPv6 host without its brackets. */
  splitAddress,
  make(log: Log): Pick<Wire, 'ask' | 'tell'> & { close(): void } {
    const connections = new Map<string, Connection>();
    let nextNumber = 1;

    const connectTo = (to: string): Connection => {
      const open = connections.get(to);
      if (open && !open.sock.destroyed) return open;
      const sock = connect(splitAddress(to));
      sock.setNoDelay(true);
      const pending: Connection['waits'] = new Map();
      const ready = new Promise<boolean>((resolve) => {
        const connectTimeout = setTimeout(() => {
          sock.destroy();
          resolve(false);
        }, 300);
        sock.once('connect', () => {
          clearTimeout(connectTimeout);
          resolve(true);
        });
        sock.once('close', () => {
          clearTimeout(connectTimeout);
          resolve(false);
        });
      });
      const connection = { sock, ready, waits: pending };
      sock.on('error', () => undefined);
      sock.on('close', () => {
        if (connections.get(to) === connection) connections.delete(to);
        for (const settle of pending.values()) settle(Err('lost'));
        pending.clear();
      });
      Framer.read(sock, {
        onFrame: (frame) => {
          if (!('re' in frame)) return;
          // A peer that refuses a message closes the connection, so the next request must open a new one.
          if (frame.re === null && connections.get(to) === connection) connections.delete(to);
          pending.get(frame.n)?.(Ok(frame.re));
          pending.delete(frame.n);
        },
        onInvalid: (why) => {
          log.warn(`Closed the connection to ${to}: ${why}.`);
          sock.destroy();
        },
      });
      connections.set(to, connection);
      return connection;
    };
    return {
      async ask(to, mail, ms) {
        const connection = connectTo(to);
        if (!(await connection.ready)) return Err('unsent');
        if (connection.sock.destroyed) return Err('unsent');
        const n = nextNumber++;
        return new Promise((resolve) => {
          const replyTimeout = setTimeout(() => {
            connection.waits.delete(n);
            resolve(Err('lost'));
          }, ms);
          connection.waits.set(n, (reply) => {
            clearTimeout(replyTimeout);
            resolve(reply);
          });
          Framer.write(connection.sock, { n, mail });
        });
      },
      tell(to, mail) {
        const connection = connectTo(to);
        const n = nextNumber++;
        void connection.ready.then((connected) => {
          if (connected) Framer.write(connection.sock, { n, mail });
        });
      },
      close() {
        for (const connection of connections.values()) connection.sock.destroy();
      },
    };
  },
};
