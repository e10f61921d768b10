import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { ConnectionExchange } from './connectionexchange.js';
import type { ListenerLimits } from './listenerlimits.js';
import type { MemoryAccount } from './memoryaccount.js';

/** Requests that one connection may have unanswered: a client that waits for each answer has one. */
const MAX_UNANSWERED = 8;
/** What the kernel may hold of the bytes written to one connection: its largest send buffer. */
const MAX_KERNEL_BYTES = 4 * 1024 * 1024;
/** Bytes of answers after which a connection is to be closed; nothing else shows that the earlier ones were read. */
const MAX_ANSWERED_BYTES = 1024 * 1024;
/** A client that was sent so much for one request, and may not have read it, may be cut off where memory is short. */
const MAX_PINNED_BYTES = 32 * 1024;

type Connection = {
  socket: Socket;
  account: MemoryAccount;
  /** Exchanges whose answers have not been written completely. */
  exchanges: Map<ServerResponse, Exchange>;
};
type Exchange = {
  /** Bytes of the request's body that are held. */
  bodyBytes: number;
  isServed: boolean;
  /** Bytes that had been written to the connection when the request came. */
  writtenBefore: number;
};

/**
 * The connections of one HTTP listener. Invariants: there are at most as many as the listener may have, and a further
 * one takes the place of the one whose state has changed least recently and that has no request in service; on one
 * connection no more requests are accepted ahead of their answers than it may have unanswered; all that a connection
 * makes this process and its kernel hold is charged to the memory budget, and a connection evicted from that is closed.
 */
export const ConnectionTable = {
  make(server: Server, { maxConnections, memory }: ListenerLimits) {
    /** Ordered by the time of the last change of state, the oldest first. */
    const connections = new Map<Socket, Connection>();
    const isServing = ({ exchanges }: Connection): boolean => {
      for (const exchange of exchanges.values()) if (exchange.isServed) return true;
      return false;
    };
    /** Whether a request is in service for which little was sent so far. */
    const isPinned = ({ socket, exchanges }: Connection): boolean => {
      for (const [response, { isServed, writtenBefore }] of exchanges) {
        const written = response.socket === null ? response.writableLength : socket.bytesWritten - writtenBefore;
        if (isServed && written <= MAX_PINNED_BYTES) return true;
      }
      return false;
    };
    const unsentBytes = ({ socket, exchanges }: Connection): number => {
      let sum = socket.writableLength;
      for (const response of exchanges.keys()) if (response.socket === null) sum += response.writableLength;
      return sum;
    };
    /** States what the connection holds. False if it has been evicted. */
    const charge = (connection: Connection): boolean => {
      const unsent = unsentBytes(connection);
      const inKernel = Math.min(MAX_KERNEL_BYTES, connection.socket.bytesWritten - connection.socket.writableLength);
      let bodies = 0;
      for (const exchange of connection.exchanges.values()) bodies += exchange.bodyBytes;
      if (!isPinned(connection)) connection.account.unpin();
      return connection.account.hold(bodies + unsent, inKernel);
    };
    const stateChanged = (connection: Connection): void => {
      if (connections.delete(connection.socket)) connections.set(connection.socket, connection);
    };
    const evictOldest = (): boolean => {
      for (const connection of connections.values()) {
        if (isServing(connection)) continue;
        connections.delete(connection.socket);
        connection.socket.resetAndDestroy();
        return true;
      }
      return false;
    };
    server.on('connection', (socket) => {
      if (connections.size >= maxConnections && !evictOldest()) {
        socket.resetAndDestroy();
        return;
      }
      const account = memory.open(() => socket.resetAndDestroy());
      connections.set(socket, { socket, account, exchanges: new Map() });
      socket.once('close', () => {
        connections.delete(socket);
        account.close();
      });
    });
    return {
      size: (): number => connections.size,
      sockets: (): Iterable<Socket> => connections.keys(),
      hasExchange: (socket: Socket): boolean => (connections.get(socket)?.exchanges.size ?? 0) > 0,
      /** A request's head has arrived. Null if nothing is to be done for it: its connection is closed. */
      begin(request: IncomingMessage, response: ServerResponse): ConnectionExchange | null {
        const connection = connections.get(request.socket);
        if (!connection || request.socket.destroyed) return null;
        if (connection.exchanges.size >= MAX_UNANSWERED) {
          request.socket.resetAndDestroy();
          return null;
        }
        const exchange = { bodyBytes: 0, isServed: false, writtenBefore: request.socket.bytesWritten };
        connection.exchanges.set(response, exchange);
        if (request.socket.bytesWritten > MAX_ANSWERED_BYTES) response.shouldKeepAlive = false;
        stateChanged(connection);
        response.once('close', () => {
          connection.exchanges.delete(response);
          stateChanged(connection);
          charge(connection);
        });
        return {
          holdBody(bytes) {
            exchange.bodyBytes = bytes;
            return charge(connection);
          },
          answerGrew: () => charge(connection),
          beginService() {
            exchange.isServed = connection.account.pin();
            stateChanged(connection);
            return exchange.isServed;
          },
          endService() {
            exchange.isServed = false;
            stateChanged(connection);
            charge(connection);
          },
        };
      },
    };
  },
};
export type ConnectionTable = ReturnType<typeof ConnectionTable.make>;
