// The flags under which deploy/system.toml runs the programs: the same for every role, as all use one kept code.
import { readFileSync } from 'node:fs';

const text = readFileSync(new URL('../deploy/system.toml', import.meta.url), 'utf8');
const runs = [...text.matchAll(/^run = "(.*)"$/gm)].map(([, run]) => run.split(' ').filter((w) => w.startsWith('--')));
if (new Set(runs.map((r) => r.join(' '))).size !== 1) throw new Error('The roles run under different flags.');
export const RunFlags = runs[0];
