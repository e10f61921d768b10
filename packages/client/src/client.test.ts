import { expect } from 'chai';
import { createHash } from 'node:crypto';
import { createServer, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { Client } from './client.js';
import type { Request } from './generated.js';

const digest = (list: string[]): string => {
  const h = createHash('sha256');
  list.forEach((t, i) => h.update(`${i + 1}:${t}\n`));
  return h.digest('hex').slice(0, 24);
};
const writeLine = (res: ServerResponse, v: unknown): void => {
  res.write(`${JSON.stringify(v)}\n`);
};
type Responder = (res: ServerResponse) => void;
const answerWhole: Responder = (res) => {
  writeLine(res, { n: 1, text: 'a' });
  writeLine(res, { n: 2, text: 'b' });
  writeLine(res, { end: true, count: 2, digest: digest(['a', 'b']) });
  res.end();
};
const answerRefused =
  (ran: string, status: number): Responder =>
  (res) => {
    res.writeHead(status);
    res.end(JSON.stringify({ verdict: { ran, code: 'x', why: 'y', after: 2 } }));
  };
const cases: [string, Responder[], { whole: boolean; attempts: number[]; delaysMs: number[] }][] = [
  ['returns a complete answer', [answerWhole], { whole: true, attempts: [1], delaysMs: [] }],
  [
    'retries a request that has not run with the next attempt number, after the delay asked for',
    [answerRefused('no', 503), answerWhole],
    { whole: true, attempts: [1, 2], delaysMs: [2000] },
  ],
  [
    'does not retry a request that may have run',
    [answerRefused('maybe', 502), answerWhole],
    { whole: false, attempts: [1], delaysMs: [] },
  ],
  [
    'retries with the next attempt number if the connection breaks before the first piece',
    [(res) => res.destroy(), answerWhole],
    { whole: true, attempts: [1, 2], delaysMs: [1000] },
  ],
  [
    'does not retry if the connection breaks after a piece',
    [
      (res) => {
        writeLine(res, { n: 1, text: 'a' });
        setImmediate(() => res.destroy());
      },
      answerWhole,
    ],
    { whole: false, attempts: [1], delaysMs: [] },
  ],
  [
    'reports an answer that the daemon cut short as incomplete',
    [
      (res) => {
        writeLine(res, { n: 1, text: 'a' });
        writeLine(res, { cut: true, verdict: { ran: 'maybe', code: 'cut', why: 'z' } });
        res.end();
      },
    ],
    { whole: false, attempts: [1], delaysMs: [] },
  ],
  [
    'reports a stream without an end line as incomplete',
    [
      (res) => {
        writeLine(res, { n: 1, text: 'a' });
        res.end();
      },
    ],
    { whole: false, attempts: [1], delaysMs: [] },
  ],
  [
    'reports a missing piece as incomplete',
    [
      (res) => {
        writeLine(res, { n: 1, text: 'a' });
        writeLine(res, { n: 3, text: 'c' });
        res.end();
      },
    ],
    { whole: false, attempts: [1], delaysMs: [] },
  ],
  [
    'reports an end line with a wrong digest as incomplete',
    [
      (res) => {
        writeLine(res, { n: 1, text: 'a' });
        writeLine(res, { end: true, count: 1, digest: 'x' });
        res.end();
      },
    ],
    { whole: false, attempts: [1], delaysMs: [] },
  ],
];

describe('Client', () => {
  let server: Server;
  afterEach((done) => {
    server.close(() => done());
    server.closeAllConnections();
  });
  for (const [name, responders, expected] of cases) {
    it(name, async () => {
      const attempts: number[] = [],
        delaysMs: number[] = [];
      let i = 0;
      server = createServer((req, res) => {
        let text = '';
        req.on('data', (b: Buffer) => {
          text += b.toString('utf8');
        });
        req.on('end', () => {
          attempts.push((JSON.parse(text) as Request).attempt);
          responders[i++]!(res);
        });
      });
      await new Promise<void>((done) => {
        server.listen(0, '127.0.0.1', done);
      });
      const addr = `127.0.0.1:${(server.address() as { port: number }).port}`;
      const sleep = (ms: number): Promise<void> => {
        delaysMs.push(ms);
        return Promise.resolve();
      };
      const got = await Client.make([addr], { nap: sleep }).request({ key: 'k', prefix: 'p', part: 'q' });
      expect({ whole: got.whole, attempts, delaysMs }).to.deep.equal(expected);
    });
  }
  const listen = async (respond: (v: Request, res: ServerResponse, n: number) => void): Promise<string> => {
    let n = 0;
    server = createServer((req, res) => {
      let text = '';
      req.on('data', (b: Buffer) => {
        text += b.toString('utf8');
      });
      req.on('end', () => {
        if (req.url === '/owners') res.end(JSON.stringify({ owners: ['e1/a', 'e2/b'] }));
        else respond(JSON.parse(text) as Request, res, ++n);
      });
    });
    await new Promise<void>((done) => {
      server.listen(0, '127.0.0.1', done);
    });
    return `127.0.0.1:${(server.address() as { port: number }).port}`;
  };
  const body = { key: 'k', prefix: 'p', part: 'q' };
  const sleep = (): Promise<void> => Promise.resolve();

  it('uses up the attempt number if an established connection fails with EHOSTUNREACH', async () => {
    const attempts: number[] = [];
    let socket: Socket | null = null;
    const addr = await listen((v, res, n) => {
      attempts.push(v.attempt);
      if (n === 1) socket?.destroy(Object.assign(new Error('x'), { code: 'EHOSTUNREACH' }));
      else answerWhole(res);
    });
    const onConnect = (s: Socket): void => {
      socket = s;
    };
    const got = await Client.make([addr], { nap: sleep, met: onConnect }).request(body);
    expect({ whole: got.whole, attempts }).to.deep.equal({ whole: true, attempts: [1, 2] });
  });
  it('keeps the attempt number if a daemon can not be reached, and calls the next daemon', async () => {
    const attempts: number[] = [];
    const addr = await listen((v, res) => {
      attempts.push(v.attempt);
      answerWhole(res);
    });
    const got = await Client.make(['127.0.0.1:1', addr], { nap: sleep }).request(body);
    expect({ whole: got.whole, attempts }).to.deep.equal({ whole: true, attempts: [1] });
  });
  it('sends the same pinned owners with each call for a key', async () => {
    const named: (string[] | undefined)[] = [];
    const addr = await listen((v, res, n) => {
      named.push(v.owners);
      if (n === 1) answerRefused('no', 503)(res);
      else answerWhole(res);
    });
    // Through the alias of request.
    await Client.make([addr], { nap: sleep, pin: true }).visit(body);
    expect(named).to.deep.equal([
      ['e1/a', 'e2/b'],
      ['e1/a', 'e2/b'],
    ]);
  });
  it('stops at its deadline, and does not retry if the delay would exceed it', async () => {
    const addr = await listen((_v, res, n) => {
      if (n === 1) answerRefused('no', 503)(res);
    });
    const got = await Client.make([addr], { deadline: 1500 }).request(body);
    expect(got.whole).to.equal(false);
    expect(got.attempt).to.equal(1);
  });
});
