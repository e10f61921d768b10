import { spawn } from 'node:child_process';
import { fileURLToPath } from 'node:url';

const BIN = fileURLToPath(import.meta.resolve('@pumicebarrow/clerk').replace(/dist\/index\.js$/, 'bin/run.js'));

/** Runs clerk as operators do, as a process of its own. */
export const ClerkRun = {
  run: (env: Record<string, string>, ...args: string[]): Promise<{ code: number | null; text: string }> =>
    new Promise((done) => {
      const p = spawn(process.execPath, [BIN, ...args], { env: { ...process.env, ...env } });
      let text = '';
      p.stdout.on('data', (b: Buffer) => {
        text += b.toString('utf8');
      });
      p.stderr.on('data', (b: Buffer) => {
        text += b.toString('utf8');
      });
      p.once('close', (code) => done({ code, text }));
    }),
};
