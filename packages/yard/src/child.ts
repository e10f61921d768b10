import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream, type WriteStream } from 'node:fs';
import { fileURLToPath } from 'node:url';

const bin = (pack: string): string =>
  fileURLToPath(import.meta.resolve(`@pumicebarrow/${pack}`).replace(/dist\/index\.js$/, 'bin/run.js'));

/** Processes that the yard has started, and nothing else. */
export const Child = {
  start(
    pack: string,
    args: readonly string[],
    logfile: string,
  ): { proc: ChildProcess; line: Promise<string>; gone: Promise<number | null> } {
    const out: WriteStream = createWriteStream(logfile, { flags: 'a' });
    const proc = spawn(process.execPath, [bin(pack), ...args], { stdio: ['ignore', 'pipe', 'pipe'] });
    proc.stderr.pipe(out, { end: false });
    const line = new Promise<string>((done) => {
      proc.stdout.once('data', (b: Buffer) => done(b.toString('utf8').trim()));
      proc.once('exit', () => done(''));
    });
    const gone = new Promise<number | null>((done) => {
      proc.once('exit', (code) => {
        out.end();
        done(code);
      });
    });
    return { proc, line, gone };
  },
};
