import type { Polka } from 'polka';
import type { Metering } from './metering.js';

const FORM = { 'content-type': 'text/plain; version=0.0.4; charset=utf-8' };

/** What every daemon's HTTP side has. */
export const WebHost = {
  /** Serves what the daemon counts. */
  metrics(app: Polka, meters: Metering): void {
    app.get('/metrics', (_req, res) => {
      void meters.text().then((text) => {
        res.writeHead(200, FORM);
        res.end(text);
      });
    });
  },
  /** Listens with a polka app at IP:PORT, until it is closed with all its connections. */
  async listen(app: Polka, addr: string): Promise<{ close(): Promise<void> }> {
    const i = addr.lastIndexOf(':');
    await new Promise<void>((done, fail) => {
      app.listen(Number(addr.slice(i + 1)), addr.slice(0, i).replace(/^\[|\]$/g, ''), () => done());
      app.server?.once('error', fail);
    });
    const server = app.server;
    return {
      close: () =>
        new Promise((done) => {
          server?.close(() => done());
          server?.closeAllConnections();
        }),
    };
  },
};
