import { connect, createServer, type Server, type Socket } from 'node:net';

const split = (addr: string): { host: string; port: number } => {
  const i = addr.lastIndexOf(':');
  return { host: addr.slice(0, i), port: Number(addr.slice(i + 1)) };
};

type Pair = { ends: [Socket, Socket]; who: string };
/** Which daemon speaks, by its first mail; callers and the like have no name. */
const NAME = /"from":\{"id":"([\w.-]+)"/;
const ANY = '';

/**
 * A link on loopback that can be cut, for all or for one daemon that speaks over it, slowed, reset, or broken off after
 * n bytes. Invariant: what comes in while it is cut stays in buffers and goes on, in order, once it is whole again.
 */
export const Relay = {
  async make(at: string, to: string) {
    const pairs = new Set<Pair>();
    const cuts = new Set<string>();
    let slow = 0;
    let left = Infinity;
    let met = 0;
    let held: { who: string; fn: () => void }[] = [];
    const apart = (who: string): boolean => cuts.has(ANY) || cuts.has(who);
    /** Breaks every connection over this link; tells how many there were. */
    const reset = (): number => {
      const n = pairs.size;
      for (const p of pairs) for (const s of p.ends) s.resetAndDestroy();
      return n;
    };
    const carry = (pair: Pair, from: Socket, into: Socket): void => {
      const pass = (fn: () => void): void => {
        if (!apart(pair.who) && !held.some((h) => h.who === pair.who)) {
          fn();
          return;
        }
        met++;
        held.push({ who: pair.who, fn });
      };
      const later = (fn: () => void): void => {
        if (slow > 0) setTimeout(() => pass(fn), slow);
        else pass(fn);
      };
      from.on('data', (b: Buffer) => {
        pair.who ||= NAME.exec(b.toString('latin1'))?.[1] ?? ANY;
        left -= b.length;
        if (left < 0) {
          left = Infinity;
          reset();
          return;
        }
        later(() => into.write(b));
      });
      from.on('error', () => undefined);
      from.on('close', () => later(() => into.destroy()));
    };
    const server: Server = createServer((a) => {
      const b = connect(split(to)),
        pair: Pair = { ends: [a, b], who: ANY };
      pairs.add(pair);
      carry(pair, a, b);
      carry(pair, b, a);
      b.on('close', () => pairs.delete(pair));
    });
    await new Promise<void>((done) => {
      server.listen(split(at), done);
    });
    return {
      at,
      /** Cuts the link for one daemon that speaks over it, or for all; and makes it whole again. */
      cut(on: boolean, who = ANY): void {
        if (on) cuts.add(who);
        else cuts.delete(who);
        const free = held.filter((h) => !apart(h.who));
        held = held.filter((h) => apart(h.who));
        for (const h of free) h.fn();
      },
      /** How often something was held up by a cut. */
      met: (): number => met,
      slow(ms: number): void {
        slow = ms;
      },
      reset,
      dropAfter(bytes: number): void {
        left = bytes;
      },
      close(): Promise<void> {
        for (const p of pairs) for (const s of p.ends) s.destroy();
        return new Promise((done) => {
          server.close(() => done());
        });
      },
    };
  },
};
