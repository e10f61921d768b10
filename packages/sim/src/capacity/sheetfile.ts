import { mkdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import type { Figure } from './figure.js';

const HEAD = ['run', 'axis', 'at', 'role', 'what', 'unit', 'value'] as const;

/** Figures as files: one JSON and one CSV of the same rows. */
export const SheetFile = {
  csv: (list: readonly Figure[]): string =>
    [HEAD.join(','), ...list.map((f) => HEAD.map((k) => `"${String(f[k])}"`).join(','))].join('\n') + '\n',
  async write(dir: string, name: string, list: readonly Figure[]): Promise<void> {
    await mkdir(dir, { recursive: true });
    await writeFile(join(dir, `${name}.json`), `[\n${list.map((f) => JSON.stringify(f)).join(',\n')}\n]\n`);
    await writeFile(join(dir, `${name}.csv`), SheetFile.csv(list));
  },
};
