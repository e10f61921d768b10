import { MetricsRegistry, Verdicts, type World } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { connect, type Socket } from 'node:net';
import type { ResponseWriter } from './responsewriter.js';
import type { CounterDaemon } from './counterdaemon.js';
import { CounterHttpServer } from './counterhttpserver.js';

const validRequest = { key: 'k', attempt: 1, rule: 'verdict', prefix: 'p', part: 'q' };
const request = JSON.stringify(validRequest);
const httpRequest = (body: string, length = Buffer.byteLength(body)): string =>
  `POST /visit HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\ncontent-length: ${length}\r\n\r\n${body}`;
const tick = (): Promise<void> =>
  new Promise((done) => {
    setImmediate(done);
  });

/** Sends a text and resolves to the first data received. */
const exchange = (socket: Socket, text: string): Promise<string> =>
  new Promise((done) => {
    socket.once('data', (data: Buffer) => {
      socket.destroy();
      done(data.toString());
    });
    socket.write(text);
  });

/** Starts the HTTP server of a daemon with a stub daemon that handles each request with `handleRequest`. */
const startServer = async (handleRequest: (writer: ResponseWriter) => Promise<void>) => {
  const daemon = {
    request: async (_v: unknown, writer: ResponseWriter) => {
      await handleRequest(writer);
      return Verdicts.ran('ran', '');
    },
  } as unknown as CounterDaemon;
  for (let port = 21_000 + Math.floor(Math.random() * 8000); ; port++) {
    try {
      const front = await CounterHttpServer.make(
        {} as World,
        daemon,
        false,
        `127.0.0.1:${port}`,
        MetricsRegistry.make(),
        {
          maxBufferedBytes: 1024 * 1024,
          receiveTimeoutMs: 300,
        },
      );
      return { front, dial: (): Socket => connect(port, '127.0.0.1').on('error', () => undefined) };
    } catch (e) {
      if ((e as { code?: string }).code !== 'EADDRINUSE') throw e;
    }
  }
};

describe('CounterHttpServer over a real socket: a client', () => {
  it('that does not read is disconnected, with little buffered for it', async () => {
    let sent = 0;
    let gone = false;
    const { front, dial } = await startServer(async (writer) => {
      const text = 'x'.repeat(65536);
      for (let n = 1; n <= 2000 && !writer.isClientGone(); n++) {
        writer.writePiece(n, text);
        sent += text.length;
        await tick();
      }
      gone = writer.isClientGone();
    });
    const socket = dial();
    socket.pause();
    socket.write(httpRequest(request));
    for (let i = 0; i < 1e5 && !gone && sent < 1.3e8; i++) await tick();
    expect(gone).to.equal(true);
    expect(sent).to.be.lessThan(3e7);
    socket.destroy();
    await front.close();
  });
  it('that disconnects is detected as gone', async () => {
    let gone = false;
    let started = false;
    const { front, dial } = await startServer(async (writer) => {
      writer.writePiece(1, 'x');
      started = true;
      while (!writer.isClientGone()) await tick();
      gone = true;
    });
    const socket = dial();
    socket.write(httpRequest(request));
    while (!started) await tick();
    socket.destroy();
    for (let i = 0; i < 1e6 && !gone; i++) await tick();
    expect(gone).to.equal(true);
    await front.close();
  });
  const unfinished: [string, string][] = [
    ['half a body', httpRequest(request, 500)],
    ['half its headers', 'POST /visit HTTP/1.1\r\nhost: x\r\n'],
  ];
  for (const [name, text] of unfinished) {
    it(`that sends ${name} and no more is disconnected, and no request starts`, async () => {
      let started = false;
      const { front, dial } = await startServer(() => {
        started = true;
        return Promise.resolve();
      });
      const socket = dial();
      let reply = '';
      socket.on('data', (data: Buffer) => {
        reply += data.toString();
      });
      socket.write(text);
      await new Promise((done) => {
        socket.once('close', done);
      });
      expect(reply).to.match(/^HTTP\/1.1 (408|400)/);
      expect(started).to.equal(false);
      await front.close();
    });
  }
  it('that sends bytes that are not UTF-8 gets status 400, and no request starts', async () => {
    let started = false;
    const { front, dial } = await startServer(() => {
      started = true;
      return Promise.resolve();
    });
    const socket = dial(),
      body = Buffer.from(request);
    let reply = '';
    body[body.indexOf('p"') + 0] = 0xff;
    socket.write(httpRequest('', body.length));
    socket.write(body);
    await new Promise<void>((done) => {
      socket.on('data', (data: Buffer) => {
        reply += data.toString();
        done();
      });
    });
    expect(reply).to.match(/^HTTP\/1.1 400/);
    expect(started).to.equal(false);
    socket.destroy();
    await front.close();
  });
  const wrong: [string, string, number, string][] = [
    ['an empty body', '', 400, '/key'],
    ['a body that is not JSON', '{', 400, 'json'],
    ['a list', '[]', 400, 'bad'],
    ['an unknown key', JSON.stringify({ ...validRequest, more: 1 }), 400, '/more'],
    ['an attempt of 0', JSON.stringify({ ...validRequest, attempt: 0 }), 400, '/attempt'],
    ['an attempt that is not a number', JSON.stringify({ ...validRequest, attempt: '1' }), 400, '/attempt'],
    ['a key with a space', JSON.stringify({ ...validRequest, key: 'a b' }), 400, '/key'],
    ['a key too long', JSON.stringify({ ...validRequest, key: 'k'.repeat(121) }), 400, '/key'],
    ['one owner', JSON.stringify({ ...validRequest, owners: ['e1/b'] }), 400, '/owners'],
    ['two faults, both reported', JSON.stringify({ ...validRequest, key: '', attempt: 0 }), 400, '/attempt'],
    ['a prefix too long', JSON.stringify({ ...validRequest, prefix: 'p'.repeat(4194305) }), 400, '/prefix'],
  ];
  for (const [name, body, status, expected] of wrong) {
    it(`that sends ${name} is told what is wrong, and no request starts`, async () => {
      let started = false;
      const { front, dial } = await startServer(() => {
        started = true;
        return Promise.resolve();
      });
      const reply = await exchange(dial(), httpRequest(body));
      expect(reply).to.match(new RegExp(`^HTTP/1.1 ${status}`));
      expect(reply).to.contain('"ran":"no"').and.to.contain(expected);
      expect(started).to.equal(false);
      await front.close();
    });
  }
  it('that uses another method gets 404 or 405, and no request starts', async () => {
    const { front, dial } = await startServer(() => Promise.reject(new Error('begun')));
    for (const method of ['GET', 'PUT', 'DELETE'])
      expect(await exchange(dial(), `${method} /visit HTTP/1.1\r\nhost: x\r\n\r\n`)).to.match(/^HTTP\/1.1 40[45]/);
    await front.close();
  });
  it('that sends an endless body gets status 413 and is disconnected', async () => {
    const { front, dial } = await startServer(() => Promise.resolve());
    const socket = dial();
    let reply = '';
    socket.on('data', (data: Buffer) => {
      reply += data.toString();
    });
    socket.write(httpRequest('"', 1e9));
    const more = (): void => {
      while (!socket.destroyed && socket.write('x'.repeat(65536)));
    };
    socket.on('drain', more);
    more();
    await new Promise((done) => {
      socket.once('close', done);
    });
    expect(reply).to.match(/^HTTP\/1.1 413/);
    expect(socket.bytesWritten).to.be.lessThan(6e7);
    await front.close();
  });
});
