import { createServer, type Server, type Socket } from 'node:net';
import { Framer } from './framer.js';
import type { Log } from './log.js';
import type { Mail } from './mail.js';
import { TcpLines } from './tcplines.js';
import type { Wire } from './wire.js';

type Ear = (mail: Mail) => Promise<unknown>;

/**
 * Mail over TCP: one connection to each peer, many asks on it at once.
 * Invariant: 'unsent' is said only if no byte of the mail was written.
 */
export const TcpWire = {
  async make(addr: string, log: Log): Promise<Wire & { close(): Promise<void> }> {
    const lines = TcpLines.make(log);
    const open = new Set<Socket>();
    let ear: Ear = () => Promise.resolve(null);
    const server: Server = createServer((sock) => {
      open.add(sock);
      sock.setNoDelay(true);
      sock.on('error', () => undefined);
      sock.on('close', () => open.delete(sock));
      Framer.read(
        sock,
        (f) => {
          if (!('mail' in f)) return;
          void ear(f.mail).then((re) => {
            if (re === undefined) return;
            Framer.write(sock, { n: f.n, re });
            if (re === null) {
              log.warn(`Closed the line from ${f.mail.from.id}: its ${f.mail.kind} was turned away.`);
              sock.end();
            }
          });
        },
        (why) => {
          log.warn(`Closed a line: ${why}.`);
          sock.destroy();
        },
      );
    });
    await new Promise<void>((done, fail) => {
      server.once('error', fail);
      server.listen({ ...TcpLines.splitAddress(addr) }, done);
    });
    return {
      hear(fn) {
        ear = fn;
      },
      ask: lines.ask,
      tell: lines.tell,
      async close() {
        for (const s of open) s.destroy();
        lines.close();
        await new Promise<void>((done) => {
          server.close(() => done());
        });
      },
    };
  },
};
