import { DaemonHttp, type Metrics } from '@pumicebarrow/forms';
import polka from 'polka';

/** HTTP server of a core daemon for health checks and metrics only: no client requests, no configuration changes. */
export const CoreHttpServer = {
  make(addr: string, metrics: Metrics, status: () => { life: string; speaks: boolean }) {
    const app = polka();
    app.get('/health', (_req, res) => {
      const current = status();
      res.writeHead(current.speaks ? 200 : 503, { 'content-type': 'application/json' });
      res.end(JSON.stringify(current));
    });
    DaemonHttp.serveMetrics(app, metrics);
    return DaemonHttp.listen(app, addr);
  },
};
