import { spawn } from 'node:child_process';

/** A command that runs beside the tests. Invariant: what it says comes out in one piece, once it is over. */
export const Beside = {
  start(command) {
    const over = new Promise((done) => {
      let text = '';
      const p = spawn(command, { shell: true, stdio: ['ignore', 'pipe', 'pipe'] });
      for (const s of [p.stdout, p.stderr]) s.on('data', (b) => (text += b));
      p.on('error', (e) => (text += `${e}\n`));
      p.on('close', (code, signal) => {
        console.log(`${text}${command}: ${signal ?? code}`);
        done(code === 0 ? [] : [`${command} ended with ${signal ?? code}`]);
      });
    });
    return { over };
  },
};
