import { WebHost, type Metering } from '@pumicebarrow/forms';
import polka from 'polka';

/** A core daemon's HTTP side, for those on call alone: it serves no callers and takes no charters. */
export const CoreHttpServer = {
  make(addr: string, metrics: Metering, status: () => { life: string; speaks: boolean }) {
    const app = polka();
    app.get('/health', (_req, res) => {
      const current = status();
      res.writeHead(current.speaks ? 200 : 503, { 'content-type': 'application/json' });
      res.end(JSON.stringify(current));
    });
    WebHost.metrics(app, metrics);
    return WebHost.listen(app, addr);
  },
};
