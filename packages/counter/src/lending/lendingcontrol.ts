import { Check, Verdicts, type Verdict } from '@pumicebarrow/forms';
import { BurstSpec } from '@pumicebarrow/registry';
import type { Counting } from '../counting.js';

type Told = { verdict: Verdict; [key: string]: unknown };
const READ = 2500;

/** What operators and trainers may ask of bursts and loans. */
export const LendingControl = {
  make(d: Pick<Counting, 'line' | 'lending'>) {
    const unread = (): Told => ({ verdict: Verdicts.not('unready', 'The core does not reply; nothing was read.', 1) });
    const read = Verdicts.ran('read', 'As the core has it.');
    return {
      /** Acknowledged once the core holds it on disk; the same again is harmless, whatever became of the first. */
      async begin(body: unknown): Promise<Told> {
        const got = Check.parse(BurstSpec, body);
        if (got.err) return { verdict: Verdicts.bad(got.val) };
        const { ruling } = await d.line.write({ do: 'begin', spec: got.val });
        return { ...ruling, key: got.val.key, total: got.val.prompts.length * got.val.samples };
      },
      async end(key: string): Promise<Told> {
        const { ruling } = await d.line.write({ do: 'end', id: key });
        return { ...ruling, key };
      },
      async bursts(): Promise<Told> {
        const got = await d.line.bursts({}, READ);
        return got ? { verdict: read, bursts: got.list } : unread();
      },
      async burst(key: string): Promise<Told> {
        const got = await d.line.bursts({ key, texts: true }, READ);
        if (!got) return unread();
        if (!got.burst) return { verdict: Verdicts.not('unknown', `There is no burst ${key}.`) };
        const summary = got.list.find((b) => b.key === key);
        return { verdict: read, summary, generations: got.burst.generations };
      },
      loans: (): Told => ({ verdict: Verdicts.ran('read', 'As this daemon holds it.'), loans: d.lending.loans() }),
      loan(server: string): Told {
        const steps = d.lending.story(server);
        if (steps.length === 0)
          return { verdict: Verdicts.not('unknown', `This daemon heard of no loan of ${server}.`) };
        return { verdict: Verdicts.ran('read', 'As this daemon heard it.'), server, steps };
      },
    };
  },
};
