import type { HistoryEvent } from '@pumicebarrow/forms';
import { readdir, readFile } from 'node:fs/promises';
import { join } from 'node:path';

const LINE = /^(\S+) (\S+) (?:! )?\[(\w+)\] (.*)$/;
type Row = { at: number; who: string; part: string; text: string };

/** What a whole run of processes did, out of their logs and what the yard itself took down, in order of time. */
export const Tale = {
  make() {
    const own: HistoryEvent[] = [];
    const rows = async (dir: string): Promise<Row[]> => {
      const files = (await readdir(dir)).filter((f) => f.endsWith('.log'));
      const texts = await Promise.all(files.map((f) => readFile(join(dir, f), 'utf8')));
      return texts
        .flatMap((t) => t.split('\n'))
        .flatMap((l) => {
          const m = LINE.exec(l);
          return m ? [{ at: Date.parse(m[1]!), who: m[2]!, part: m[3]!, text: m[4]! }] : [];
        });
    };
    return {
      tell: (d: Omit<HistoryEvent, 'at'> & { what: string; who: string }): void => {
        own.push({ ...d, at: Date.now() });
      },
      /** A process is up from its first word after it was started. */
      async deeds(dir: string): Promise<HistoryEvent[]> {
        const all = await rows(dir);
        const up = own.map((d) => {
          if (d.what !== 'start') return d;
          const first = all.filter((r) => r.who === d.who && r.at >= d.at).sort((a, b) => a.at - b.at)[0];
          return { ...d, at: first?.at ?? d.at };
        });
        const told = all
          .filter((r) => r.part === 'deed')
          .map((r) => ({ ...(JSON.parse(r.text) as HistoryEvent), who: r.who, at: r.at }));
        return [...up, ...told].sort((a, b) => a.at - b.at);
      },
    };
  },
};
