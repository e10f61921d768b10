import { connect, type Socket } from 'node:net';
import { Err } from './err.js';
import { Framer } from './framer.js';
import type { Log } from './log.js';
import { Ok } from './ok.js';
import type { Result } from './result.js';
import type { Wire } from './wire.js';
import type { WireFault } from './wirefault.js';

type Peer = { sock: Socket; ready: Promise<boolean>; waits: Map<number, (r: Result<unknown, WireFault>) => void> };
const split = (addr: string): { host: string; port: number } => {
  const i = addr.lastIndexOf(':');
  return { host: addr.slice(0, i).replace(/^\[|\]$/g, ''), port: Number(addr.slice(i + 1)) };
};

/**
 * The asking half of the wire: one connection to each peer, many asks on it at once.
 * Invariant: 'unsent' is said only if no byte of the mail was written.
 */
export const TcpLines = {
  splitAddress: split,
  make(log: Log): Pick<Wire, 'ask' | 'tell'> & { close(): void } {
    const peers = new Map<string, Peer>();
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
    return {
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
      tell(to, mail) {
        const peer = dial(to);
        const n = next++;
        void peer.ready.then((up) => {
          if (up) Framer.write(peer.sock, { n, mail });
        });
      },
      close() {
        for (const p of peers.values()) p.sock.destroy();
      },
    };
  },
};
