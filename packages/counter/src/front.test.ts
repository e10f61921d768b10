import { Meters, Verdicts, type World } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { connect, type Socket } from 'node:net';
import type { CallerSink } from './callersink.js';
import type { Counting } from './counting.js';
import { Front } from './front.js';

const sound = { key: 'k', attempt: 1, rule: 'verdict', prefix: 'p', part: 'q' };
const request = JSON.stringify(sound);
const post = (body: string, length = Buffer.byteLength(body)): string =>
  `POST /visit HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\ncontent-length: ${length}\r\n\r\n${body}`;
const tick = (): Promise<void> =>
  new Promise((done) => {
    setImmediate(done);
  });

/** Says something, and gives the first that is heard back. */
const hear = (sock: Socket, text: string): Promise<string> =>
  new Promise((done) => {
    sock.once('data', (b: Buffer) => {
      sock.destroy();
      done(b.toString());
    });
    sock.write(text);
  });

/** A daemon's HTTP side before a stand-in for the daemon, which deals with each request as it is told to. */
const stand = async (deal: (sink: CallerSink) => Promise<void>) => {
  const d = {
    request: async (_v: unknown, sink: CallerSink) => {
      await deal(sink);
      return Verdicts.ran('ran', '');
    },
  } as unknown as Counting;
  for (let port = 21_000 + Math.floor(Math.random() * 8000); ; port++) {
    try {
      const front = await Front.make({} as World, d, false, `127.0.0.1:${port}`, Meters.make(), {
        held: 1024 * 1024,
        body: 300,
      });
      return { front, dial: (): Socket => connect(port, '127.0.0.1').on('error', () => undefined) };
    } catch (e) {
      if ((e as { code?: string }).code !== 'EADDRINUSE') throw e;
    }
  }
};

describe('A caller over a real socket', () => {
  it('that does not read is torn off, with little held for it', async () => {
    let sent = 0;
    let gone = false;
    const { front, dial } = await stand(async (sink) => {
      const text = 'x'.repeat(65536);
      for (let n = 1; n <= 2000 && !sink.gone(); n++) {
        sink.piece(n, text);
        sent += text.length;
        await tick();
      }
      gone = sink.gone();
    });
    const sock = dial();
    sock.pause();
    sock.write(post(request));
    for (let i = 0; i < 1e5 && !gone && sent < 1.3e8; i++) await tick();
    expect(gone).to.equal(true);
    expect(sent).to.be.lessThan(3e7);
    sock.destroy();
    await front.close();
  });
  it('that hangs up is known to be gone', async () => {
    let gone = false;
    let begun = false;
    const { front, dial } = await stand(async (sink) => {
      sink.piece(1, 'x');
      begun = true;
      while (!sink.gone()) await tick();
      gone = true;
    });
    const sock = dial();
    sock.write(post(request));
    while (!begun) await tick();
    sock.destroy();
    for (let i = 0; i < 1e6 && !gone; i++) await tick();
    expect(gone).to.equal(true);
    await front.close();
  });
  const unfinished: [string, string][] = [
    ['half a body', post(request, 500)],
    ['half its headers', 'POST /visit HTTP/1.1\r\nhost: x\r\n'],
  ];
  for (const [name, text] of unfinished) {
    it(`that sends ${name} and no more is let go of, and starts nothing`, async () => {
      let begun = false;
      const { front, dial } = await stand(() => {
        begun = true;
        return Promise.resolve();
      });
      const sock = dial();
      let said = '';
      sock.on('data', (b: Buffer) => {
        said += b.toString();
      });
      sock.write(text);
      await new Promise((done) => {
        sock.once('close', done);
      });
      expect(said).to.match(/^HTTP\/1.1 (408|400)/);
      expect(begun).to.equal(false);
      await front.close();
    });
  }
  it('that sends bytes that are not UTF-8 is told so, and starts nothing', async () => {
    let begun = false;
    const { front, dial } = await stand(() => {
      begun = true;
      return Promise.resolve();
    });
    const sock = dial(),
      body = Buffer.from(request);
    let said = '';
    body[body.indexOf('p"') + 0] = 0xff;
    sock.write(post('', body.length));
    sock.write(body);
    await new Promise<void>((done) => {
      sock.on('data', (b: Buffer) => {
        said += b.toString();
        done();
      });
    });
    expect(said).to.match(/^HTTP\/1.1 400/);
    expect(begun).to.equal(false);
    sock.destroy();
    await front.close();
  });
  const wrong: [string, string, number, string][] = [
    ['an empty body', '', 400, '/key'],
    ['no JSON', '{', 400, 'json'],
    ['a list', '[]', 400, 'bad'],
    ['an unknown key', JSON.stringify({ ...sound, more: 1 }), 400, '/more'],
    ['an attempt of 0', JSON.stringify({ ...sound, attempt: 0 }), 400, '/attempt'],
    ['an attempt that is no number', JSON.stringify({ ...sound, attempt: '1' }), 400, '/attempt'],
    ['a key with blanks', JSON.stringify({ ...sound, key: 'a b' }), 400, '/key'],
    ['a key too long', JSON.stringify({ ...sound, key: 'k'.repeat(121) }), 400, '/key'],
    ['one owner', JSON.stringify({ ...sound, owners: ['e1/b'] }), 400, '/owners'],
    ['two faults, both told', JSON.stringify({ ...sound, key: '', attempt: 0 }), 400, '/attempt'],
    ['a prefix too long', JSON.stringify({ ...sound, prefix: 'p'.repeat(4194305) }), 400, '/prefix'],
  ];
  for (const [name, body, status, told] of wrong) {
    it(`that sends ${name} is told what is wrong, and starts nothing`, async () => {
      let begun = false;
      const { front, dial } = await stand(() => {
        begun = true;
        return Promise.resolve();
      });
      const said = await hear(dial(), post(body));
      expect(said).to.match(new RegExp(`^HTTP/1.1 ${status}`));
      expect(said).to.contain('"ran":"no"').and.to.contain(told);
      expect(begun).to.equal(false);
      await front.close();
    });
  }
  it('that uses another method is told 404 or 405, and starts nothing', async () => {
    const { front, dial } = await stand(() => Promise.reject(new Error('begun')));
    for (const method of ['GET', 'PUT', 'DELETE'])
      expect(await hear(dial(), `${method} /visit HTTP/1.1\r\nhost: x\r\n\r\n`)).to.match(/^HTTP\/1.1 40[45]/);
    await front.close();
  });
  it('that sends a body without end is told that it is too large, and let go of', async () => {
    const { front, dial } = await stand(() => Promise.resolve());
    const sock = dial();
    let said = '';
    sock.on('data', (b: Buffer) => {
      said += b.toString();
    });
    sock.write(post('"', 1e9));
    const more = (): void => {
      while (!sock.destroyed && sock.write('x'.repeat(65536)));
    };
    sock.on('drain', more);
    more();
    await new Promise((done) => {
      sock.once('close', done);
    });
    expect(said).to.match(/^HTTP\/1.1 413/);
    expect(sock.bytesWritten).to.be.lessThan(6e7);
    await front.close();
  });
});
