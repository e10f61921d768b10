import { createServer, type Server } from 'node:net';
import { AcceptedPeers } from './acceptedpeers.js';
import type { Frame } from './frame.js';
import { Framer } from './framer.js';
import type { ListenerLimits } from './listenerlimits.js';
import type { Log } from './log.js';
import type { Message } from './message.js';
import { ProcessLimits } from './processlimits.js';
import { TcpClient } from './tcpclient.js';
import type { Wire } from './wire.js';

type MessageHandler = (mail: Message) => Promise<unknown>;
type RequestFrame = Extract<Frame, { mail: unknown }>;

/**
 * The message transport over TCP: one connection to each peer, with many concurrent requests on it.
 * Invariant: 'unsent' is returned only if no byte of the message was written.
 */
export const TcpWire = {
  /** Listens at `addr`. Messages are refused until a handler is registered. */
  async make(
    addr: string,
    log: Log,
    limits: ListenerLimits = ProcessLimits.ofUnknownMachine().peers,
  ): Promise<Wire & { close(): Promise<void> }> {
    const client = TcpClient.make(log);
    let handler: MessageHandler = () => Promise.resolve(null);
    const server: Server = createServer();
    const accepted = AcceptedPeers.watch(server, limits, (peer) => {
      const { socket } = peer;
      const answer = async ({ n, mail }: RequestFrame): Promise<void> => {
        peer.messageBegan();
        const re = await handler(mail);
        if (re !== undefined) Framer.write(socket, { n, re });
        peer.messageEnded();
        if (re !== null) return;
        log.warn(`Closed the connection from ${mail.from.id}: its message ${mail.kind} was refused.`);
        socket.end();
      };
      socket.setNoDelay(true);
      socket.on('error', () => undefined);
      Framer.read(socket, {
        onFrame: (frame) => {
          if ('mail' in frame) void answer(frame);
        },
        onInvalid: (why) => {
          log.warn(`Closed an incoming connection: ${why}.`);
          socket.destroy();
        },
        onHeld: peer.holdLine,
        maxParsedBytes: limits.maxJsonBytes,
      });
    });
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen({ ...TcpClient.splitAddress(addr) }, resolve);
    });
    return {
      onMessage(fn) {
        handler = fn;
      },
      ask: client.ask,
      tell: client.tell,
      async close() {
        accepted.destroyAll();
        client.close();
        await new Promise<void>((resolve) => {
          server.close(() => resolve());
        });
      },
    };
  },
};
