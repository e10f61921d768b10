import { connect, createServer, type Server, type Socket } from 'node:net';

const split = (addr: string): { host: string; port: number } => {
  const i = addr.lastIndexOf(':');
  return { host: addr.slice(0, i), port: Number(addr.slice(i + 1)) };
};

/**
 * A link on loopback that can be cut, slowed, reset, or broken off after n bytes.
 * Invariant: what comes in while it is cut stays in buffers and goes on, in order, once it is whole again.
 */
export const Relay = {
  async make(at: string, to: string) {
    const pairs = new Set<[Socket, Socket]>();
    let cut = false;
    let slow = 0;
    let left = Infinity;
    const held: (() => void)[] = [];
    const reset = (): void => {
      for (const p of pairs) for (const s of p) s.resetAndDestroy();
    };
    const carry = (from: Socket, into: Socket): void => {
      const pass = (fn: () => void): void => {
        if (cut) held.push(fn);
        else fn();
      };
      const later = (fn: () => void): void => {
        if (slow > 0) setTimeout(() => pass(fn), slow);
        else pass(fn);
      };
      from.on('data', (b: Buffer) => {
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
      const pair: [Socket, Socket] = [a, connect(split(to))];
      pairs.add(pair);
      carry(pair[0], pair[1]);
      carry(pair[1], pair[0]);
      pair[1].on('close', () => pairs.delete(pair));
    });
    await new Promise<void>((done) => {
      server.listen(split(at), done);
    });
    return {
      at,
      cut(on: boolean): void {
        cut = on;
        if (!on) for (const fn of held.splice(0)) fn();
      },
      slow(ms: number): void {
        slow = ms;
      },
      reset,
      dropAfter(bytes: number): void {
        left = bytes;
      },
      close(): Promise<void> {
        for (const p of pairs) for (const s of p) s.destroy();
        return new Promise((done) => {
          server.close(() => done());
        });
      },
    };
  },
};
