import { expect } from 'chai';
import { createServer, type Server, type Socket } from 'node:net';
import type { AddressInfo } from 'node:net';
import { HttpModelServerClient } from './httpmodelserverclient.js';

const handle = { id: 'h', key: 'k', attempt: 1, server: 'm1', born: 'one', addr: '127.0.0.1:1', digest: 'd' };
const job = { key: 'k', attempt: 1, born: 'one', by: 1e9, handle, pieces: 2, weight: 1 };
const piece = (n: number): string => `${JSON.stringify({ key: 'k', attempt: 1, born: 'one', n, text: 'x' })}\n`;
const responseHead = 'HTTP/1.1 200 OK\r\ncontent-type: application/x-ndjson\r\ntransfer-encoding: chunked\r\n\r\n';
const chunk = (server: string): string => `${Buffer.byteLength(server).toString(16)}\r\n${server}\r\n`;
type Behavior = (socket: Socket, n: number) => void;

/** Starts a raw TCP server that calls `behave` with a running number for each chunk of data received. */
const startRawServer = async (
  behave: Behavior,
): Promise<{ addr: string; met: () => number; close: () => Promise<void> }> => {
  const open = new Set<Socket>();
  let requestCount = 0;
  const server: Server = createServer((socket) => {
    open.add(socket);
    socket.on('error', () => undefined);
    socket.on('data', () => {
      requestCount++;
      behave(socket, requestCount);
    });
  });
  await new Promise<void>((done) => {
    server.listen(0, '127.0.0.1', done);
  });
  const { port } = server.address() as AddressInfo;
  return {
    addr: `127.0.0.1:${port}`,
    met: () => requestCount,
    close: () =>
      new Promise((done) => {
        for (const server of open) server.destroy();
        server.close(() => done());
      }),
  };
};
const cases: [string, Behavior, { ran: string; code: string; pieces: number }][] = [
  [
    'resets the connection once it has read the request',
    (server) => server.resetAndDestroy(),
    { ran: 'maybe', code: 'broken', pieces: 0 },
  ],
  ['ends the connection without a reply', (server) => server.end(), { ran: 'maybe', code: 'broken', pieces: 0 }],
  [
    'sends headers and stops',
    (server) => {
      server.write(responseHead);
    },
    { ran: 'maybe', code: 'broken', pieces: 0 },
  ],
  [
    'sends a piece and stops',
    (server) => {
      server.write(responseHead + chunk(piece(1)));
    },
    { ran: 'maybe', code: 'broken', pieces: 1 },
  ],
  [
    'sends a line that never ends',
    (server) => {
      server.write(responseHead);
      for (let i = 0; i < 40; i++) server.write(chunk('x'.repeat(65536)));
    },
    { ran: 'maybe', code: 'broken', pieces: 0 },
  ],
  [
    'ends inside a line',
    (server) => {
      server.end(`${responseHead}${chunk(piece(1).slice(0, 20))}0\r\n\r\n`);
    },
    { ran: 'maybe', code: 'broken', pieces: 0 },
  ],
  [
    'sends an endless body with a rejection',
    (server) => {
      server.write(`HTTP/1.1 409 Conflict\r\ntransfer-encoding: chunked\r\n\r\n${chunk('[')}`);
      for (let i = 0; i < 64; i++) server.write(chunk('1,'.repeat(32768)));
    },
    { ran: 'maybe', code: 'broken', pieces: 0 },
  ],
  [
    'rejects the job with a known code',
    (server) => {
      server.end('HTTP/1.1 409 Conflict\r\ncontent-length: 15\r\n\r\n{"code":"busy"}');
    },
    { ran: 'no', code: 'busy', pieces: 0 },
  ],
  [
    'rejects the job without a known code',
    (server) => {
      server.end('HTTP/1.1 503 No\r\ncontent-length: 2\r\n\r\n{}');
    },
    { ran: 'maybe', code: 'broken', pieces: 0 },
  ],
];

describe('HttpModelServerClient over a real socket: a server', () => {
  for (const [name, behave, expected] of cases) {
    it(`that ${name} gives '${expected.ran} ${expected.code}'`, async () => {
      const server = await startRawServer(behave),
        client = HttpModelServerClient.make();
      let pieces = 0;
      const result = await client.decode(server.addr, job, 400, () => {
        pieces++;
        return true;
      });
      expect(result.err).to.equal(true);
      expect({
        ran: (result.val as { ran: string }).ran,
        code: (result.val as { code: string }).code,
        pieces,
      }).to.deep.equal(expected);
      await client.close();
      await server.close();
    });
  }
  it('that refuses the connection gives proof that nothing ran', async () => {
    const server = await startRawServer(() => undefined);
    await server.close();
    const client = HttpModelServerClient.make(),
      result = await client.decode(server.addr, job, 400, () => true);
    expect(result.val).to.include({ ran: 'no', code: 'unreached' });
    await client.close();
  });
  for (const code of ['EHOSTUNREACH', 'ENETUNREACH', 'ECONNREFUSED']) {
    it(`whose connection fails with ${code} after the request was written gives no proof`, async () => {
      let last: Socket | null = null;
      const server = await startRawServer(() => {
        last?.destroy(Object.assign(new Error(code), { code }));
      });
      const client = HttpModelServerClient.make((socket) => {
        last = socket;
      });
      const result = await client.decode(server.addr, job, 2000, () => true);
      expect(server.met()).to.equal(1);
      expect(result.val).to.include({ ran: 'maybe', code: 'broken' });
      await client.close();
      await server.close();
    });
  }
  it('that sends an endless reply is read only up to a fixed size', async () => {
    let socket: Socket | null = null;
    const server = await startRawServer((x) => {
      x.write(`HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n${chunk('[')}`);
      const more = (): void => {
        while (!x.destroyed && x.write(chunk('1,'.repeat(32768))));
      };
      x.on('drain', more);
      more();
    });
    const client = HttpModelServerClient.make((x) => {
        socket = x;
      }),
      result = await client.fetchState(server.addr, 5000);
    expect(result.val).to.include({ ran: 'maybe', code: 'bad' });
    expect(socket!.bytesRead).to.be.within(1024 * 1024, 4 * 1024 * 1024);
    await client.close();
    await server.close();
  });
  it('is sent 300 requests at once: none waits in the client for another to finish', async () => {
    const server = await startRawServer(() => undefined),
      client = HttpModelServerClient.make();
    const calls = Array.from({ length: 300 }, () => client.decode(server.addr, job, 5000, () => true));
    for (let i = 0; i < 2000 && server.met() < 300; i++)
      await new Promise((done) => {
        setImmediate(done);
      });
    const requestCount = server.met();
    await client.close();
    await Promise.all(calls);
    await server.close();
    expect(requestCount).to.equal(300);
  });
});
