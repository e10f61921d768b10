import type { InventoryList } from '@pumicebarrow/counter';
import { createServer } from 'node:http';

/** The stand-in platform: serves the list of servers that it was last given. */
export const TownHost = {
  make(addr: string) {
    let list: InventoryList = { servers: [] };
    const server = createServer((_req, res) => {
      res.writeHead(200, { 'content-type': 'application/json' });
      res.end(JSON.stringify(list));
    });
    const i = addr.lastIndexOf(':');
    return {
      start: (): Promise<void> =>
        new Promise((done) => {
          server.listen(Number(addr.slice(i + 1)), addr.slice(0, i), done);
        }),
      set(next: InventoryList): void {
        list = next;
      },
      list: (): InventoryList => list,
      close: (): Promise<void> =>
        new Promise((done) => {
          server.close(() => done());
          server.closeAllConnections();
        }),
    };
  },
};
