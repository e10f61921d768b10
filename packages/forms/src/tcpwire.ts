import { createServer, connect, type Server, type Socket } from 'node:net';
import { Err } from './err.js';
import { Framer } from './framer.js';
import type { Log } from './log.js';
import type { Mail } from './mail.js';
import { Ok } from './ok.js';
import type { Result } from './result.js';
import type { Wire } from './wire.js';
import type { WireFault } from './wirefault.js';

type Ear = (mail: Mail) => Promise<unknown>;
type Peer = { sock: Socket; ready: Promise<boolean>; waits: Map<number, (r: Result<unknown, WireFault>) => void> };
const split = (addr: string): { host: string; port: number } => {
  const i = addr.lastIndexOf(':');
  return { host: addr.slice(0, i).replace(/^\[|\]$/g, ''), port: Number(addr.slice(i + 1)) };
};

/**
 * Mail over TCP: one connection to each peer, many asks on it at once.
 * Invariant: 'unsent' is said only if no byte of the mail was written.
 */
export const TcpWire = {
  async make(addr: string, log: Log): Promise<Wire & { close(): Promise<void> }> {
    const peers = new Map<string, Peer>();
    const open = new Set<Socket>();
    let ear: Ear = () => Promise.resolve(null);
    let next = 1;

    const dial = (to: string): Peer => {
      const old = peers.get(to);
      if (old && !old.sock.destroyed) return old;
      const sock = connect(split(to));
      sock.setNoDelay(true);
      const waits: Peer['waits'] = new Map();
      const ready = new Promise<boolean>((done) => {
        const late = setTimeout(() => {
          sock.destroy();
          done(false);
        }, 300);
        sock.once('connect', () => {
          clearTimeout(late);
          done(true);
        });
        sock.once('close', () => {
          clearTimeout(late);
          done(false);
        });
      });
      const peer = { sock, ready, waits };
      sock.on('error', () => undefined);
      sock.on('close', () => {
        if (peers.get(to) === peer) peers.delete(to);
        for (const w of waits.values()) w(Err('lost'));
        waits.clear();
      });
      Framer.read(
        sock,
        (f) => {
          if (!('re' in f)) return;
          if (f.re === null && peers.get(to) === peer) peers.delete(to);
          waits.get(f.n)?.(Ok(f.re));
          waits.delete(f.n);
        },
        (why) => {
          log.warn(`Closed the line to ${to}: ${why}.`);
          sock.destroy();
        },
      );
      peers.set(to, peer);
      return peer;
    };
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
            Framer.write(sock, { n: f.n, re: re ?? null });
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
      server.listen({ ...split(addr) }, done);
    });
    return {
      hear(fn) {
        ear = fn;
      },
      async ask(to, mail, ms) {
        const peer = dial(to);
        if (!(await peer.ready)) return Err('unsent');
        if (peer.sock.destroyed) return Err('unsent');
        const n = next++;
        return new Promise((done) => {
          const late = setTimeout(() => {
            peer.waits.delete(n);
            done(Err('lost'));
          }, ms);
          peer.waits.set(n, (r) => {
            clearTimeout(late);
            done(r);
          });
          Framer.write(peer.sock, { n, mail });
        });
      },
      async close() {
        for (const s of open) s.destroy();
        for (const p of peers.values()) p.sock.destroy();
        await new Promise<void>((done) => {
          server.close(() => done());
        });
      },
    };
  },
};
