import type { Polka } from 'polka';

/** Listens with a polka app at IP:PORT, until it is closed with all its connections. */
export const WebHost = {
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
