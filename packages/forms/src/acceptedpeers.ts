import type { Server, Socket } from 'node:net';
import type { ListenerLimits } from './listenerlimits.js';

/** Bytes of replies that may wait for a peer to read them before nothing more is read from it. */
const MAX_UNSENT_BYTES = 256 * 1024;
/** Messages of one peer that may be under way before nothing more is read from it. */
const MAX_MESSAGES_UNDER_WAY = 1024;
/** What the kernel may hold for a peer that does not read: its largest send buffer, once so much more waits here. */
const MAX_KERNEL_BYTES = 4 * 1024 * 1024;
const KERNEL_BYTES_PER_UNSENT = MAX_KERNEL_BYTES / MAX_UNSENT_BYTES;
/** Replies of the last while that are not charged: what a peer that reads them may well ask for. */
const FREE_REPLY_BYTES = 64 * 1024;
const REPLY_WINDOW_MS = 5000;

/** Counts bytes over the last one to two windows of time. */
const recentBytes = () => {
  let windowStart = performance.now();
  let current = 0;
  let previous = 0;
  const advance = (): void => {
    const elapsed = performance.now() - windowStart;
    if (elapsed < REPLY_WINDOW_MS) return;
    previous = elapsed < 2 * REPLY_WINDOW_MS ? current : 0;
    current = 0;
    windowStart += elapsed;
  };
  return {
    add(bytes: number): void {
      advance();
      current += bytes;
    },
    sum(): number {
      advance();
      return previous + current;
    },
  };
};

/** A connection that a peer has opened. */
type AcceptedPeer = {
  socket: Socket;
  /** States the memory that an unfinished line takes. */
  holdLine(bytes: number): void;
  messageBegan(): void;
  /** The reply has been written. */
  messageEnded(): void;
};

/**
 * The connections that peers have opened. Invariants: there are at most as many as the listener may have, and a further
 * one takes the place of the one that was silent for longest; nothing is read from a peer that does not read its
 * replies; what a connection makes this process and its kernel hold is charged to the memory budget.
 */
export const AcceptedPeers = {
  watch(server: Server, limits: ListenerLimits, onPeer: (peer: AcceptedPeer) => void) {
    /** Ordered by the time of the last message, the oldest first. */
    const accepted = new Set<Socket>();
    const dropOldest = (): void => {
      for (const socket of accepted) {
        accepted.delete(socket);
        socket.resetAndDestroy();
        return;
      }
    };
    const add = (socket: Socket): AcceptedPeer => {
      const account = limits.memory.open(() => socket.resetAndDestroy());
      let lineBytes = 0;
      let underWay = 0;
      const replies = recentBytes();
      let written = 0;
      /** An estimate: nothing tells whether the peer has read what the kernel took. */
      const kernelBytes = (unsent: number): number => {
        replies.add(socket.bytesWritten - written);
        written = socket.bytesWritten;
        const unproven = Math.max(replies.sum() - FREE_REPLY_BYTES, unsent * KERNEL_BYTES_PER_UNSENT, 0);
        return Math.min(MAX_KERNEL_BYTES, unproven);
      };
      const update = (): void => {
        const unsent = socket.writableLength;
        account.hold(lineBytes + unsent, kernelBytes(unsent));
        const isBehind = unsent > MAX_UNSENT_BYTES || underWay >= MAX_MESSAGES_UNDER_WAY;
        if (isBehind) socket.pause();
        else if (socket.isPaused()) socket.resume();
      };
      accepted.add(socket);
      socket.on('drain', update);
      socket.once('close', () => {
        accepted.delete(socket);
        account.close();
      });
      return {
        socket,
        holdLine(bytes) {
          lineBytes = bytes;
          update();
        },
        messageBegan() {
          underWay++;
          if (accepted.delete(socket)) accepted.add(socket);
          if (underWay >= MAX_MESSAGES_UNDER_WAY) update();
        },
        messageEnded() {
          underWay--;
          update();
        },
      };
    };
    server.on('connection', (socket: Socket) => {
      if (accepted.size >= limits.maxConnections) dropOldest();
      onPeer(add(socket));
    });
    return {
      destroyAll(): void {
        for (const socket of accepted) socket.destroy();
      },
    };
  },
};
