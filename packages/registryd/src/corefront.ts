import { WebHost, type Metering } from '@pumicebarrow/forms';
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
    WebHost.metrics(app, meters);
    return WebHost.listen(app, addr);
  },
};
