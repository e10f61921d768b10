import { createServer } from 'node:net';

/** Free ports of this machine, all found before any is given back. */
export const Ports = {
  async free(n: number): Promise<number[]> {
    const held = await Promise.all(Array.from({ length: n }, () => new Promise<ReturnType<typeof createServer>>((done) => {
      const s = createServer();
      s.listen(0, '127.0.0.1', () => done(s));
    })));
    const list = held.map((s) => (s.address() as { port: number }).port);
    await Promise.all(held.map((s) => new Promise((done) => { s.close(done); })));
    return list;
  },
};
