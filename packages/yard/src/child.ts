import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream, type WriteStream } from 'node:fs';
import { fileURLToPath } from 'node:url';

const bin = (pack: string): string =>
  fileURLToPath(import.meta.resolve(`@pumicebarrow/${pack}`).replace(/dist\/index\.js$/, 'bin/run.js'));

type Held = { proc: ChildProcess; line: Promise<string>; gone: Promise<number | null> };

/** Processes that the yard has started, and nothing else. */
export const Child = {
  start: (pack: string, args: readonly string[], logfile: string): Held => Child.node([bin(pack), ...args], logfile),
  /** A program of Node's, with what is to be in its environment beside ours. */
  node(args: readonly string[], logfile: string, env: Readonly<Record<string, string>> = {}): Held {
    const out: WriteStream = createWriteStream(logfile, { flags: 'a' });
    const more = { ...process.env, ...env };
    const proc = spawn(process.execPath, [...args], { stdio: ['ignore', 'pipe', 'pipe'], env: more });
    proc.stderr.pipe(out, { end: false });
    const line = new Promise<string>((done) => {
      proc.stdout.once('data', (b: Buffer) => done(b.toString('utf8').trim()));
      proc.once('exit', () => done(''));
    });
    const gone = new Promise<number | null>((done) => {
      // Only once its output is closed has all that it said been read.
      proc.once('close', (code) => {
        out.end();
        done(code);
      });
    });
    return { proc, line, gone };
  },
};
