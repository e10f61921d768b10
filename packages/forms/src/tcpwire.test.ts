import { expect } from 'chai';
import { connect, createServer } from 'node:net';
import { Logs } from './logs.js';
import type { Message } from './message.js';
import { TcpWire } from './tcpwire.js';

const freePort = (): Promise<number> =>
  new Promise((resolve) => {
    const server = createServer().listen(0, '127.0.0.1', () => {
      const port = (server.address() as { port: number }).port;
      server.close(() => resolve(port));
    });
  });
const message = (kind: string, to = ''): Message => ({
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
    received: unknown[] = [];
  beforeEach(async () => {
    at = `127.0.0.1:${await freePort()}`;
    a = await TcpWire.make(`127.0.0.1:${await freePort()}`, Logs.silent());
    b = await TcpWire.make(at, Logs.silent());
    received = [];
    b.onMessage((m) => {
      if (m.kind === 'told') {
        received.push(m.body);
        return Promise.resolve(undefined);
      }
      return Promise.resolve(m.kind === 'echo' ? m.body : m.kind === 'hang' ? new Promise(() => undefined) : null);
    });
  });
  afterEach(async () => {
    await a.close();
    await b.close();
  });

  it('carries many concurrent requests on one connection', async () => {
    const got = await Promise.all(Array.from({ length: 50 }, () => a.ask(at, message('echo'), 5000)));
    expect(got.every((g) => g.ok)).to.equal(true);
  });
  it('delivers a one-way message before a later request on the same connection, without a reply', async () => {
    const [host, port] = at.split(':') as [string, string];
    const sock = connect(Number(port), host);
    let replies = '';
    sock.on('data', (bytes) => (replies += bytes.toString()));
    sock.write(
      `${JSON.stringify({ n: 1, mail: message('told') })}\n${JSON.stringify({ n: 2, mail: message('echo') })}\n`,
    );
    while (!replies.includes('\n')) await new Promise((done) => setImmediate(done));
    sock.destroy();
    expect(JSON.parse(replies)).to.deep.equal({ n: 2, re: { n: 1 } });
    a.tell(at, message('told'));
    await a.ask(at, message('echo'), 5000);
    expect(received).to.deep.equal([{ n: 1 }, { n: 1 }]);
  });
  it('returns unsent only if nothing listens at the address', async () => {
    const unused = `127.0.0.1:${await freePort()}`;
    expect((await a.ask(unused, message('echo'), 5000)).val).to.equal('unsent');
    expect((await a.ask(at, message('hang'), 50)).val).to.equal('lost');
  });
  it('returns lost if the peer closes before it replies', async () => {
    const request = a.ask(at, message('hang'), 60_000);
    await a.ask(at, message('echo'), 5000);
    await b.close();
    expect((await request).val).to.equal('lost');
  });
  const invalid: [string, string][] = [
    ['text that is not JSON', 'hello\n'],
    ['JSON that is not a frame', '{"n":1}\n'],
    ['a frame with an invalid protocol version', `${JSON.stringify({ n: 1, mail: { ...message('echo'), v: 0 } })}\n`],
    ['a frame with an unknown key', `${JSON.stringify({ n: 1, mail: message('echo'), more: 1 })}\n`],
    ['a line too long', 'x'.repeat(9 * 1024 * 1024)],
  ];
  for (const [name, text] of invalid) {
    it(`closes only the connection that sends ${name}`, async () => {
      const [host, port] = at.split(':') as [string, string];
      const sock = connect(Number(port), host);
      sock.on('error', () => undefined);
      sock.write(text);
      await new Promise((done) => {
        sock.once('close', done);
      });
      expect((await a.ask(at, message('echo'), 5000)).ok).to.equal(true);
    });
  }
  it('opens a new connection after a message was refused', async () => {
    expect((await a.ask(at, message('other'), 5000)).val).to.equal(null);
    expect((await a.ask(at, message('echo'), 5000)).ok).to.equal(true);
  });
});
