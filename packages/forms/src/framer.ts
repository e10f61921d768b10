import type { Socket } from 'node:net';
import { ByteCollector } from './bytecollector.js';
import { Frame } from './frame.js';
import { JsonCost } from './jsoncost.js';
import { SchemaCheck } from './schemacheck.js';

const MAX_LINE_BYTES = 8 * 1024 * 1024;
const LINE_FEED = 10;
/** A line shorter than this takes little memory whatever it says. */
const SHORT_LINE_BYTES = 16 * 1024;

type Handlers = {
  /** Called for each frame. */
  onFrame: (frame: Frame) => void;
  /** Called once, at the first frame that is invalid. */
  onInvalid: (why: string) => void;
  /** Called with the memory that an unfinished line takes, after each change. */
  onHeld?: (bytes: number) => void;
  /** Estimated memory that one parsed line may take. */
  maxParsedBytes?: number;
};

/**
 * Reads and writes frames on a connection, one JSON document per line.
 * Invariant: nothing is read after an invalid frame.
 */
export const Framer = {
  read(socket: Socket, { onFrame, onInvalid, onHeld, maxParsedBytes = Infinity }: Handlers): void {
    const pending = ByteCollector.make();
    let stopped = false;
    const fail = (why: string): void => {
      stopped = true;
      pending.clear();
      onInvalid(why);
    };
    const parseLine = (line: Buffer): void => {
      if (line.length > SHORT_LINE_BYTES && JsonCost.estimate(line) > maxParsedBytes)
        return fail('received a line that would take too much memory');
      let value: unknown;
      try {
        value = JSON.parse(line.toString('utf8'));
      } catch {
        return fail('received a line that is not JSON');
      }
      if (!SchemaCheck.matches(Frame, value)) return fail('received a line that is not a valid frame');
      onFrame(value as Frame);
    };
    socket.on('data', (data: Buffer) => {
      const held = pending.heldBytes();
      let rest = data;
      for (let i = rest.indexOf(LINE_FEED); i >= 0 && !stopped; i = rest.indexOf(LINE_FEED)) {
        pending.add(rest.subarray(0, i));
        rest = rest.subarray(i + 1);
        parseLine(pending.take());
      }
      if (stopped) return;
      pending.add(rest);
      if (pending.size() > MAX_LINE_BYTES) fail('received a line of more than 8 MiB');
      if (pending.heldBytes() !== held) onHeld?.(pending.heldBytes());
    });
  },
  write(sock: Socket, f: Frame): void {
    if (!sock.destroyed && sock.writable) sock.write(`${JSON.stringify(f)}\n`);
  },
};
