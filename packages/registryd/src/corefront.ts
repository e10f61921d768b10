import { WebHost, type Metering } from '@pumicebarrow/forms';
import type { ServerResponse } from 'node:http';
import polka from 'polka';

/** A core daemon's HTTP side, for those on call alone: it serves no callers and takes no charters. */
export const CoreFront = {
  make(addr: string, meters: Metering, life: () => { life: string; speaks: boolean }) {
    const app = polka();
    app.get('/health', (_req, res) => {
      const now = life();
      res.writeHead(now.speaks ? 200 : 503, { 'content-type': 'application/json' });
      res.end(JSON.stringify(now));
    });
    app.get('/metrics', (_req, res: ServerResponse) => {
      void meters.text().then((t) => {
        res.writeHead(200, { 'content-type': 'text/plain; version=0.0.4; charset=utf-8' });
        res.end(t);
      });
    });
    return WebHost.listen(app, addr);
  },
};
