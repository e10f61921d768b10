import { expect } from 'chai';
import { createServer, type RequestListener, type Server } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { ConnectionTable } from './connectiontable.js';
import type { ConnectionExchange } from './connectionexchange.js';
import { MemoryBudget } from './memorybudget.js';

const MIB = 1024 * 1024;
const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
type Client = { socket: Socket; text: string; isClosed: boolean };
type Handler = (exchange: ConnectionExchange, ...args: Parameters<RequestListener>) => void;

const until = async (condition: () => boolean): Promise<void> => {
  while (!condition()) await new Promise((resolve) => setImmediate(resolve));
};

describe('A table of connections', () => {
  let server: Server;
  const clients: Client[] = [];
  let table: ConnectionTable;
  const listen = async (maxConnections: number, memoryBytes: number, handler: Handler): Promise<void> => {
    server = createServer((request, response) => {
      const exchange = table.begin(request, response);
      if (exchange) handler(exchange, request, response);
    });
    table = ConnectionTable.make(server, {
      ...{ maxConnections, memory: MemoryBudget.make(memoryBytes), maxJsonBytes: memoryBytes },
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
  };
  const dial = async (): Promise<Client> => {
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
    const client: Client = { socket, text: '', isClosed: false };
    clients.push(client);
    socket.on('data', (bytes) => (client.text += bytes.toString('latin1')));
    socket.on('error', () => undefined);
    socket.on('close', () => (client.isClosed = true));
    // A connection that is closed at once may never be told as made.
    await new Promise((resolve) => {
      socket.once('connect', resolve);
      socket.once('close', resolve);
    });
    return client;
  };
  afterEach(async () => {
    for (const client of clients.splice(0)) client.socket.destroy();
    await new Promise((resolve) => server.close(resolve));
  });

  it('gives the place of the oldest idle connection to a new one', async () => {
    await listen(2, MIB, (_, __, response) => response.end());
    const [first, second] = [await dial(), await dial()];
    await until(() => table.size() === 2);
    first.socket.write(REQUEST);
    await until(() => first.text.includes('\r\n\r\n'));
    await dial();
    await until(() => second.isClosed);
    expect([first.isClosed, table.size()]).to.deep.equal([false, 2]);
  });
  it('closes a new connection where all others have a request in service', async () => {
    await listen(1, MIB, (exchange) => void exchange.beginService());
    const served = await dial();
    served.socket.write(REQUEST);
    await until(() => table.size() === 1 && [...table.sockets()].every(table.hasExchange));
    const late = await dial();
    await until(() => late.isClosed);
    expect(served.isClosed).to.equal(false);
  });
  it('closes a connection on which too many requests were sent ahead, and answers a few', async () => {
    await listen(4, MIB, (_, __, response) => response.end());
    const [few, many] = [await dial(), await dial()];
    few.socket.write(REQUEST.repeat(8));
    many.socket.write(REQUEST.repeat(9));
    await until(() => many.isClosed && few.text.match(/HTTP\/1.1 200/g)?.length === 8);
    expect(few.isClosed).to.equal(false);
  });
  it('closes the connection that holds most once bodies outgrow the memory', async () => {
    await listen(4, MIB, (exchange, request) => {
      let bytes = 0;
      request.on('data', (chunk: Buffer) => exchange.holdBody((bytes += chunk.length)));
    });
    const body = (bytes: number): string =>
      `POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${2 * MIB}\r\n\r\n${'x'.repeat(bytes)}`;
    const [little, much] = [await dial(), await dial()];
    little.socket.write(body(MIB / 4));
    much.socket.write(body(MIB));
    await until(() => much.isClosed);
    expect([little.isClosed, table.size()]).to.deep.equal([false, 1]);
  });
  it('closes a connection whose answer is not read, also while its request is in service', async () => {
    await listen(4, 12 * MIB, (exchange, _, response) => {
      exchange.beginService();
      response.writeHead(200);
      const grow = (): void => {
        if (response.destroyed) return;
        response.write(Buffer.alloc(MIB));
        exchange.answerGrew();
        setImmediate(grow);
      };
      grow();
    });
    const client = await dial();
    client.socket.pause();
    client.socket.write(REQUEST);
    await until(() => table.size() === 0);
  });
  it('ends a connection in order once its answers have taken many bytes', async () => {
    await listen(4, 12 * MIB, (_, __, response) => response.end(Buffer.alloc(MIB + 1)));
    const client = await dial();
    client.socket.write(REQUEST);
    await until(() => client.text.length > MIB);
    client.socket.write(REQUEST);
    await until(() => client.isClosed);
    expect(client.text.match(/Connection: (close|keep-alive)/g)).to.deep.equal([
      'Connection: keep-alive',
      'Connection: close',
    ]);
    expect(client.text.length).to.be.above(2 * MIB);
  });
});
