import { expect } from 'chai';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { Logs } from './logs.js';
import { MemoryBudget } from './memorybudget.js';
import type { Message } from './message.js';
import { TcpWire } from './tcpwire.js';

const MIB = 1024 * 1024;
const REPLY_BYTES = 20_000;
const ASKED = 2000;
const message = (kind: string): Message => ({
  ...{ v: 1, to: '', from: { id: 'a', born: 'x', addr: '127.0.0.1:1', site: 's', role: 'counter' }, kind, body: {} },
});
const line = (kind: string): string => `${JSON.stringify({ n: 1, mail: message(kind) })}\n`;
const freeAddress = (): Promise<string> =>
  new Promise((resolve) => {
    const server = createServer().listen(0, '127.0.0.1', () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => resolve(`127.0.0.1:${port}`));
    });
  });
const until = async (condition: () => boolean): Promise<void> => {
  while (!condition()) await new Promise((resolve) => setImmediate(resolve));
};

describe('Peers that are accepted', () => {
  let wire: Awaited<ReturnType<typeof TcpWire.make>>;
  let handled = 0;
  const sockets: Socket[] = [];
  let address = '';
  const listen = async (maxConnections: number, memoryBytes = 8 * MIB): Promise<void> => {
    handled = 0;
    address = await freeAddress();
    const limits = { maxConnections, memory: MemoryBudget.make(memoryBytes), maxJsonBytes: 2 * MIB };
    wire = await TcpWire.make(address, Logs.silent(), limits);
    wire.onMessage(({ kind }) => {
      handled++;
      return Promise.resolve(kind === 'large' ? 'x'.repeat(REPLY_BYTES) : {});
    });
  };
  const dial = () => {
    const [host, port] = address.split(':') as [string, string];
    const socket = connect(Number(port), host);
    const peer = { socket, replies: 0, isClosed: false };
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => (peer.isClosed = true));
    socket.on('data', (bytes: Buffer) => (peer.replies += bytes.toString('latin1').split('\n').length - 1));
    return peer;
  };
  const ask = async (peer: ReturnType<typeof dial>): Promise<void> => {
    const before = peer.replies;
    peer.socket.write(line('small'));
    await until(() => peer.replies > before || peer.isClosed);
  };
  afterEach(async () => {
    for (const socket of sockets.splice(0)) socket.destroy();
    await wire.close();
  });

  it('are not read from while they do not read their replies', async () => {
    await listen(8, 64 * MIB);
    const [deaf, other] = [dial(), dial()];
    deaf.socket.pause();
    deaf.socket.write(line('large').repeat(ASKED));
    for (let i = 0; i < 200; i++) await ask(other);
    expect(handled).to.be.below(ASKED / 2 + 200);
    expect(other.isClosed).to.equal(false);
    deaf.socket.resume();
    await until(() => deaf.replies === ASKED);
  });
  it('are closed, the one with the longest unfinished line first, once lines outgrow the memory', async () => {
    await listen(8);
    const [short, long, other] = [dial(), dial(), dial()];
    short.socket.write('x'.repeat(2 * MIB));
    long.socket.write('x'.repeat(7 * MIB));
    await until(() => long.isClosed);
    await ask(other);
    expect([short.isClosed, other.isClosed]).to.deep.equal([false, false]);
  });
  it('give way to a new one once there are too many, the one silent for longest first', async () => {
    await listen(2);
    const [first, second] = [dial(), dial()];
    await ask(first);
    await ask(second);
    await ask(first);
    const third = dial();
    await ask(third);
    await until(() => second.isClosed);
    expect([first.isClosed, third.isClosed]).to.deep.equal([false, false]);
  });
  it('are closed at a line whose values would take far more memory than its text', async () => {
    await listen(8);
    const peer = dial();
    peer.socket.write(`{"n":1,"re":[${'{},'.repeat(100_000)}{}]}\n`);
    await until(() => peer.isClosed);
    const large = dial();
    large.socket.write(`{"n":1,"re":"${'x'.repeat(300_000)}"}\n`);
    await ask(large);
    expect(large.isClosed).to.equal(false);
  });
});
