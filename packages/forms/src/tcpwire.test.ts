import { expect } from 'chai';
import { connect, createServer } from 'node:net';
import { Logs } from './logs.js';
import type { Mail } from './mail.js';
import { TcpWire } from './tcpwire.js';

const port = (): Promise<number> =>
  new Promise((done) => {
    const s = createServer().listen(0, '127.0.0.1', () => {
      const p = (s.address() as { port: number }).port;
      s.close(() => done(p));
    });
  });
const mail = (kind: string, to = ''): Mail => ({
  v: 1,
  to,
  from: { id: 'a', born: 'x', addr: '127.0.0.1:1', site: 's', role: 'counter' },
  kind,
  body: { n: 1 },
});

describe('TcpWire', () => {
  let a: Awaited<ReturnType<typeof TcpWire.make>>,
    b: typeof a,
    at = '',
    told: unknown[] = [];
  beforeEach(async () => {
    at = `127.0.0.1:${await port()}`;
    a = await TcpWire.make(`127.0.0.1:${await port()}`, Logs.quiet());
    b = await TcpWire.make(at, Logs.quiet());
    told = [];
    b.hear((m) => {
      if (m.kind === 'told') {
        told.push(m.body);
        return Promise.resolve(undefined);
      }
      return Promise.resolve(m.kind === 'echo' ? m.body : m.kind === 'hang' ? new Promise(() => undefined) : null);
    });
  });
  afterEach(async () => {
    await a.close();
    await b.close();
  });

  it('carries many asks on one connection', async () => {
    const got = await Promise.all(Array.from({ length: 50 }, () => a.ask(at, mail('echo'), 5000)));
    expect(got.every((g) => g.ok)).to.equal(true);
  });
  it('tells on the same connection, before what is asked after, and nothing comes back', async () => {
    const [host, p] = at.split(':') as [string, string];
    const s = connect(Number(p), host);
    let back = '';
    s.on('data', (bytes) => (back += bytes.toString()));
    s.write(`${JSON.stringify({ n: 1, mail: mail('told') })}\n${JSON.stringify({ n: 2, mail: mail('echo') })}\n`);
    while (!back.includes('\n')) await new Promise((done) => setImmediate(done));
    s.destroy();
    expect(JSON.parse(back)).to.deep.equal({ n: 2, re: { n: 1 } });
    a.tell(at, mail('told'));
    await a.ask(at, mail('echo'), 5000);
    expect(told).to.deep.equal([{ n: 1 }, { n: 1 }]);
  });
  it('says unsent only where nothing listens', async () => {
    const free = `127.0.0.1:${await port()}`;
    expect((await a.ask(free, mail('echo'), 5000)).val).to.equal('unsent');
    expect((await a.ask(at, mail('hang'), 50)).val).to.equal('lost');
  });
  it('says lost when the other side dies with the mail in hand', async () => {
    const job = a.ask(at, mail('hang'), 60_000);
    await a.ask(at, mail('echo'), 5000);
    await b.close();
    expect((await job).val).to.equal('lost');
  });
  const bad: [string, string][] = [
    ['no JSON', 'hello\n'],
    ['no frame', '{"n":1}\n'],
    ['a frame of no voice', `${JSON.stringify({ n: 1, mail: { ...mail('echo'), v: 0 } })}\n`],
    ['a frame with more in it', `${JSON.stringify({ n: 1, mail: mail('echo'), more: 1 })}\n`],
    ['a line too long', 'x'.repeat(9 * 1024 * 1024)],
  ];
  for (const [name, text] of bad) {
    it(`closes a connection that sends ${name}, and no other`, async () => {
      const [host, p] = at.split(':') as [string, string];
      const s = connect(Number(p), host);
      s.on('error', () => undefined);
      s.write(text);
      await new Promise((done) => {
        s.once('close', done);
      });
      expect((await a.ask(at, mail('echo'), 5000)).ok).to.equal(true);
    });
  }
  it('closes the connection of one that was turned away', async () => {
    expect((await a.ask(at, mail('other'), 5000)).val).to.equal(null);
    expect((await a.ask(at, mail('echo'), 5000)).ok).to.equal(true);
  });
});
