import { connect, type Socket } from 'node:net';

/** How long a crowd goes on sending, and how long it waits for its peer to take more on any connection. */
const SEND_LIMIT_MS = 20_000;
const STALL_LIMIT_MS = 1500;

type Options = {
  connections: number;
  /** What each connection sends, piece by piece; it stays open after the last one. */
  payload: () => Iterable<Uint8Array>;
  /** Whether answers are read. */
  reads: boolean;
};

const openSocket = (addr: string, reads: boolean): Socket => {
  const split = addr.lastIndexOf(':');
  const socket = connect(Number(addr.slice(split + 1)), addr.slice(0, split));
  socket.on('error', () => undefined);
  if (reads) socket.resume();
  else socket.pause();
  return socket;
};
/** Settles once the connection is up, or can't be made. */
const connected = (socket: Socket): Promise<void> =>
  new Promise((resolve) => {
    const late = setTimeout(resolve, STALL_LIMIT_MS);
    for (const event of ['connect', 'close'])
      socket.once(event, () => {
        clearTimeout(late);
        resolve();
      });
  });
/** Settles once the socket takes more or has closed, or after a while. */
const drainedOrWaited = (socket: Socket): Promise<void> =>
  new Promise((resolve) => {
    const settle = (): void => {
      clearTimeout(waited);
      socket.off('drain', settle);
      socket.off('close', settle);
      resolve();
    };
    const waited = setTimeout(settle, STALL_LIMIT_MS);
    socket.once('drain', settle);
    socket.once('close', settle);
  });
/** When a crowd ends its sending: after a time, or once nothing of it has been taken for a while on any connection. */
const sendLimit = () => {
  const end = Date.now() + SEND_LIMIT_MS;
  let lastTaken = Date.now();
  return {
    progressed(): void {
      lastTaken = Date.now();
    },
    isOver: (): boolean => Date.now() > end || Date.now() - lastTaken > STALL_LIMIT_MS,
  };
};
const sendAll = async (
  socket: Socket,
  pieces: Iterable<Uint8Array>,
  limit: ReturnType<typeof sendLimit>,
): Promise<void> => {
  await connected(socket);
  for (const piece of pieces) {
    if (!socket.write(piece))
      while (socket.writableNeedDrain && !socket.destroyed && !limit.isOver()) await drainedOrWaited(socket);
    if (socket.destroyed || limit.isOver()) return;
    if (!socket.writableNeedDrain) limit.progressed();
  }
};

/** Clients that don't behave: raw connections that send what they are told to, and stay open until they are closed. */
export const RawCrowd = {
  /** Settles once every connection has sent all that its peer takes, or the time for it is over. */
  async start(addr: string, { connections, payload, reads }: Options) {
    const limit = sendLimit();
    const sockets = Array.from({ length: connections }, () => openSocket(addr, reads));
    await Promise.all(sockets.map((socket) => sendAll(socket, payload(), limit)));
    return {
      close(): void {
        for (const socket of sockets) socket.destroy();
      },
    };
  },
  /** Sends one whole request on a connection of its own; gives all that came back until the answer's end or a cut. */
  async answerTo(addr: string, request: Iterable<Uint8Array>): Promise<string> {
    const socket = openSocket(addr, true);
    const closed = new Promise<void>((resolve) => {
      socket.once('close', () => resolve());
    });
    let text = '';
    const ended = new Promise<void>((resolve) => {
      socket.on('data', (bytes: Buffer) => {
        text += bytes.toString('latin1');
        if (text.endsWith('0\r\n\r\n')) resolve();
      });
    });
    await sendAll(socket, request, sendLimit());
    await Promise.race([closed, ended]);
    socket.destroy();
    return text;
  },
};
