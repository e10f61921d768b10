import type { Socket } from 'node:net';
import { Check } from './check.js';
import { Frame } from './frame.js';

const MOST = 8 * 1024 * 1024;

/** Cuts a connection's bytes into frames. Invariant: after a frame that does not fit, nothing more is read. */
export const Framer = {
  read(sock: Socket, take: (f: Frame) => void, bad: (why: string) => void): void {
    let held: Buffer[] = [];
    let size = 0;
    let off = false;
    const fail = (why: string): void => {
      off = true;
      bad(why);
    };
    const line = (text: string): void => {
      let v: unknown;
      try {
        v = JSON.parse(text);
      } catch {
        return fail('a line that is not JSON');
      }
      if (!Check.is(Frame, v)) return fail('a line that is no frame');
      take(v as Frame);
    };
    sock.on('data', (buf: Buffer) => {
      let rest = buf;
      for (let i = rest.indexOf(10); i >= 0 && !off; i = rest.indexOf(10)) {
        const text = Buffer.concat([...held, rest.subarray(0, i)]).toString('utf8');
        held = [];
        size = 0;
        rest = rest.subarray(i + 1);
        line(text);
      }
      if (off || rest.length === 0) return;
      held.push(rest);
      size += rest.length;
      if (size > MOST) fail('a line too long');
    });
  },
  write(sock: Socket, f: Frame): void {
    if (!sock.destroyed && sock.writable) sock.write(`${JSON.stringify(f)}\n`);
  },
};
