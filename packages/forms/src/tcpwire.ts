import { createServer, type Server, type Socket } from 'node:net';
import { Framer } from './framer.js';
import type { Log } from './log.js';
import type { Message } from './message.js';
import { TcpClient } from './tcpclient.js';
import type { Wire } from './wire.js';

type MessageHandler = (mail: Message) => Promise<unknown>;

/**
 * The message transport over TCP: one connection to each peer, with many concurrent requests on it.
 * Invariant: 'unsent' is returned only if no byte of the message was written.
 */
export const TcpWire = {
  /** Listens at `addr`. Messages are refused until a handler is registered. */
  async make(addr: string, log: Log): Promise<Wire & { close(): Promise<void> }> {
    const client = TcpClient.make(log);
    const accepted = new Set<Socket>();
    let handler: MessageHandler = () => Promise.resolve(null);
    const server: Server = createServer((sock) => {
      accepted.add(sock);
      sock.setNoDelay(true);
      sock.on('error', () => undefined);
      sock.on('close', () => accepted.delete(sock));
      Framer.read(
        sock,
        (frame) => {
          if (!('mail' in frame)) return;
          void handler(frame.mail).then((re) => {
            if (re === undefined) return;
            Framer.write(sock, { n: frame.n, re });
            if (re === null) {
              log.warn(`Closed the connection from ${frame.mail.from.id}: its message ${frame.mail.kind} was refused.`);
              sock.end();
            }
          });
        },
        (why) => {
          log.warn(`Closed an incoming connection: ${why}.`);
          sock.destroy();
        },
      );
    });
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen({ ...TcpClient.splitAddress(addr) }, resolve);
    });
    return {
      onMessage(fn) {
        handler = fn;
      },
      ask: client.ask,
      tell: client.tell,
      async close() {
        for (const sock of accepted) sock.destroy();
        client.close();
        await new Promise<void>((resolve) => {
          server.close(() => resolve());
        });
      },
    };
  },
};
