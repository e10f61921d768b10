import type { Polka } from 'polka';
import type { Metrics } from './metrics.js';

const METRICS_HEADERS = { 'content-type': 'text/plain; version=0.0.4; charset=utf-8' };

/** The HTTP functions that all daemons share. */
export const DaemonHttp = {
  /** Serves the daemon's metrics at /metrics. */
  serveMetrics(app: Polka, metrics: Metrics): void {
    app.get('/metrics', (_req, res) => {
      void metrics.render().then((text) => {
        res.writeHead(200, METRICS_HEADERS);
        res.end(text);
      });
    });
  },
  /** Serves a polka app at IP:PORT. `close` also closes all connections. */
  async listen(app: Polka, addr: string): Promise<{ close(): Promise<void> }> {
    const i = addr.lastIndexOf(':');
    await new Promise<void>((resolve, reject) => {
      app.listen(Number(addr.slice(i + 1)), addr.slice(0, i).replace(/^\[|\]$/g, ''), () => resolve());
      app.server?.once('error', reject);
    });
    const server = app.server;
    return {
      close: () =>
        new Promise((resolve) => {
          server?.close(() => resolve());
          server?.closeAllConnections();
        }),
    };
  },
};
