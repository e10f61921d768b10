import { readFileSync } from 'node:fs';

/** The flags under which a deployment runs the programs. */
export const RunFlags = {
  read(): string[] {
    const text = readFileSync(new URL('../../../../deploy/system.toml', import.meta.url), 'utf8');
    const run = /^run = "(.*)"$/m.exec(text)?.[1] ?? '';
    return run.split(' ').filter((w) => w.startsWith('--'));
  },
};
