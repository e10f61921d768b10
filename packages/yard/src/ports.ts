import { createServer, type Server } from 'node:net';

const LOW = 20_000;
const SPAN = 10_000;

/**
 * Free ports of this machine, all found before any is given back. They lie below the range that outgoing
 * connections take theirs from, so that none is taken by one while its daemon is down.
 */
export const Ports = {
  /** The first of so many free ports that follow each other. */
  async run(n: number): Promise<number> {
    for (;;) {
      const list = await Ports.free(n);
      if (list.every((port, i) => port === list[0]! + i)) return list[0]!;
    }
  },
  async free(n: number): Promise<number[]> {
    const held: Server[] = [];
    let next = Math.floor(Math.random() * SPAN);
    for (let tries = 0; held.length < n && tries < SPAN; tries++) {
      const port = LOW + (next++ % SPAN);
      const s = await new Promise<Server | null>((done) => {
        const one = createServer();
        one.once('error', () => done(null));
        one.listen(port, '127.0.0.1', () => done(one));
      });
      if (s) held.push(s);
    }
    const list = held.map((s) => (s.address() as { port: number }).port);
    await Promise.all(
      held.map(
        (s) =>
          new Promise((done) => {
            s.close(done);
          }),
      ),
    );
    return list;
  },
};
