import type { Socket } from 'node:net';
import { SchemaCheck } from './schemacheck.js';
import { Frame } from './frame.js';

const MAX_LINE_BYTES = 8 * 1024 * 1024;

/**
 * Reads and writes frames on a connection, one JSON document per line.
 * Invariant: nothing is read after an invalid frame.
 */
export const Framer = {
  /** Calls `onFrame` for each frame, and `onInvalid` once at the first one that is invalid. */
  read(sock: Socket, onFrame: (f: Frame) => void, onInvalid: (why: string) => void): void {
    let pending: Buffer[] = [];
    let pendingBytes = 0;
    let stopped = false;
    const fail = (why: string): void => {
      stopped = true;
      onInvalid(why);
    };
    const parseLine = (text: string): void => {
      let v: unknown;
      try {
        v = JSON.parse(text);
      } catch {
        return fail('received a line that is not JSON');
      }
      if (!SchemaCheck.matches(Frame, v)) return fail('received a line that is not a valid frame');
      onFrame(v as Frame);
    };
    sock.on('data', (data: Buffer) => {
      let rest = data;
      for (let i = rest.indexOf(10); i >= 0 && !stopped; i = rest.indexOf(10)) {
        const text = Buffer.concat([...pending, rest.subarray(0, i)]).toString('utf8');
        pending = [];
        pendingBytes = 0;
        rest = rest.subarray(i + 1);
        parseLine(text);
      }
      if (stopped || rest.length === 0) return;
      pending.push(rest);
      pendingBytes += rest.length;
      if (pendingBytes > MAX_LINE_BYTES) fail('received a line of more than 8 MiB');
    });
  },
  write(sock: Socket, f: Frame): void {
    if (!sock.destroyed && sock.writable) sock.write(`${JSON.stringify(f)}\n`);
  },
};
