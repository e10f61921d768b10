import { expect } from 'chai';
import { createServer, type Server, type Socket } from 'node:net';
import type { AddressInfo } from 'node:net';
import { HttpBack } from './httpback.js';

const handle = { id: 'h', key: 'k', attempt: 1, server: 'm1', born: 'one', addr: '127.0.0.1:1', digest: 'd' };
const job = { key: 'k', attempt: 1, born: 'one', by: 1e9, handle, pieces: 2, weight: 1 };
const piece = (n: number): string => `${JSON.stringify({ key: 'k', attempt: 1, born: 'one', n, text: 'x' })}\n`;
const head = 'HTTP/1.1 200 OK\r\ncontent-type: application/x-ndjson\r\ntransfer-encoding: chunked\r\n\r\n';
const chunk = (s: string): string => `${Buffer.byteLength(s).toString(16)}\r\n${s}\r\n`;
type Deal = (sock: Socket, n: number) => void;

/** A raw server that deals with the n-th connection's first bytes as it is told to. */
const listen = async (deal: Deal): Promise<{ addr: string; met: () => number; close: () => Promise<void> }> => {
  const open = new Set<Socket>();
  let met = 0;
  const server: Server = createServer((sock) => {
    open.add(sock);
    sock.on('error', () => undefined);
    sock.on('data', () => {
      met++;
      deal(sock, met);
    });
  });
  await new Promise<void>((done) => {
    server.listen(0, '127.0.0.1', done);
  });
  const { port } = server.address() as AddressInfo;
  return {
    addr: `127.0.0.1:${port}`,
    met: () => met,
    close: () =>
      new Promise((done) => {
        for (const s of open) s.destroy();
        server.close(() => done());
      }),
  };
};
const cases: [string, Deal, { ran: string; code: string; pieces: number }][] = [
  [
    'resets the connection once it has read the request',
    (s) => s.resetAndDestroy(),
    { ran: 'maybe', code: 'broken', pieces: 0 },
  ],
  ['ends the connection without a word', (s) => s.end(), { ran: 'maybe', code: 'broken', pieces: 0 }],
  [
    'sends headers and stops',
    (s) => {
      s.write(head);
    },
    { ran: 'maybe', code: 'broken', pieces: 0 },
  ],
  [
    'sends a piece and stops',
    (s) => {
      s.write(head + chunk(piece(1)));
    },
    { ran: 'maybe', code: 'broken', pieces: 1 },
  ],
  [
    'sends a line that never ends',
    (s) => {
      s.write(head);
      for (let i = 0; i < 40; i++) s.write(chunk('x'.repeat(65536)));
    },
    { ran: 'maybe', code: 'broken', pieces: 0 },
  ],
  [
    'ends inside a line',
    (s) => {
      s.end(`${head}${chunk(piece(1).slice(0, 20))}0\r\n\r\n`);
    },
    { ran: 'maybe', code: 'broken', pieces: 0 },
  ],
  [
    'gives a body without end where it turns work away',
    (s) => {
      s.write(`HTTP/1.1 409 Conflict\r\ntransfer-encoding: chunked\r\n\r\n${chunk('[')}`);
      for (let i = 0; i < 64; i++) s.write(chunk('1,'.repeat(32768)));
    },
    { ran: 'maybe', code: 'broken', pieces: 0 },
  ],
  [
    'turns it away in words',
    (s) => {
      s.end('HTTP/1.1 409 Conflict\r\ncontent-length: 15\r\n\r\n{"code":"busy"}');
    },
    { ran: 'no', code: 'busy', pieces: 0 },
  ],
  [
    'turns it away in no words of ours',
    (s) => {
      s.end('HTTP/1.1 503 No\r\ncontent-length: 2\r\n\r\n{}');
    },
    { ran: 'maybe', code: 'broken', pieces: 0 },
  ],
];

describe('A server over a real socket', () => {
  for (const [name, deal, want] of cases) {
    it(`that ${name} gives '${want.ran} ${want.code}'`, async () => {
      const s = await listen(deal),
        back = HttpBack.make();
      let pieces = 0;
      const got = await back.decode(s.addr, job, 400, () => {
        pieces++;
        return true;
      });
      expect(got.err).to.equal(true);
      expect({ ran: (got.val as { ran: string }).ran, code: (got.val as { code: string }).code, pieces }).to.deep.equal(
        want,
      );
      await back.close();
      await s.close();
    });
  }
  it('that is not there gives proof that nothing ran', async () => {
    const s = await listen(() => undefined);
    await s.close();
    const back = HttpBack.make(),
      got = await back.decode(s.addr, job, 400, () => true);
    expect(got.val).to.include({ ran: 'no', code: 'unreached' });
    await back.close();
  });
  for (const code of ['EHOSTUNREACH', 'ENETUNREACH', 'ECONNREFUSED']) {
    it(`whose connection fails with ${code} after the request was written gives no proof`, async () => {
      let last: Socket | null = null;
      const s = await listen(() => {
        last?.destroy(Object.assign(new Error(code), { code }));
      });
      const back = HttpBack.make((sock) => {
        last = sock;
      });
      const got = await back.decode(s.addr, job, 2000, () => true);
      expect(s.met()).to.equal(1);
      expect(got.val).to.include({ ran: 'maybe', code: 'broken' });
      await back.close();
      await s.close();
    });
  }
  it('that replies without end is read no further than a fixed size', async () => {
    let sock: Socket | null = null;
    const s = await listen((x) => {
      x.write(`HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n${chunk('[')}`);
      const more = (): void => {
        while (!x.destroyed && x.write(chunk('1,'.repeat(32768))));
      };
      x.on('drain', more);
      more();
    });
    const back = HttpBack.make((x) => {
        sock = x;
      }),
      got = await back.state(s.addr, 5000);
    expect(got.val).to.include({ ran: 'maybe', code: 'bad' });
    expect(sock!.bytesRead).to.be.within(1024 * 1024, 4 * 1024 * 1024);
    await back.close();
    await s.close();
  });
  it('is sent everything at once: nothing waits behind other work in the client', async () => {
    const s = await listen(() => undefined),
      back = HttpBack.make();
    const jobs = Array.from({ length: 300 }, () => back.decode(s.addr, job, 5000, () => true));
    for (let i = 0; i < 2000 && s.met() < 300; i++)
      await new Promise((done) => {
        setImmediate(done);
      });
    const met = s.met();
    await back.close();
    await Promise.all(jobs);
    await s.close();
    expect(met).to.equal(300);
  });
});
