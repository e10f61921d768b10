import { SchemaCheck, Verdicts, type Verdict } from '@pumicebarrow/forms';
import { BurstSpec } from '@pumicebarrow/registry';
import type { CounterDaemon } from '../counterdaemon.js';

type Answer = { verdict: Verdict; [key: string]: unknown };
const READ_TIMEOUT_MS = 2500;

/** The interface for operators and trainers to bursts and loans. */
export const LendingApi = {
  make(daemon: Pick<CounterDaemon, 'controlClient' | 'lending'>) {
    const noReply = (): Answer => ({
      verdict: Verdicts.notRun('unready', 'The core does not reply; nothing was read.', 1),
    });
    const readVerdict = Verdicts.ran('read', 'As the core has it.');
    return {
      /** Starts a burst; acknowledged once the core has it on disk. Repeating it is harmless in any case. */
      async begin(body: unknown): Promise<Answer> {
        const parsed = SchemaCheck.parse(BurstSpec, body);
        if (parsed.err) return { verdict: Verdicts.invalid(parsed.val) };
        const { ruling } = await daemon.controlClient.write({ do: 'begin', spec: parsed.val });
        return { ...ruling, key: parsed.val.key, total: parsed.val.prompts.length * parsed.val.samples };
      },
      async end(key: string): Promise<Answer> {
        const { ruling } = await daemon.controlClient.write({ do: 'end', id: key });
        return { ...ruling, key };
      },
      async bursts(): Promise<Answer> {
        const reply = await daemon.controlClient.bursts({}, READ_TIMEOUT_MS);
        return reply ? { verdict: readVerdict, bursts: reply.list } : noReply();
      },
      /** A burst with its generations and their texts. */
      async burst(key: string): Promise<Answer> {
        const reply = await daemon.controlClient.bursts({ key, texts: true }, READ_TIMEOUT_MS);
        if (!reply) return noReply();
        if (!reply.burst) return { verdict: Verdicts.notRun('unknown', `There is no burst ${key}.`) };
        const summary = reply.list.find((b) => b.key === key);
        return { verdict: readVerdict, summary, generations: reply.burst.generations };
      },
      /** The loans that this daemon knows of. */
      loans: (): Answer => ({
        verdict: Verdicts.ran('read', 'As this daemon holds it.'),
        loans: daemon.lending.loans(),
      }),
      /** The history of a server's loans, as received by this daemon. */
      loan(server: string): Answer {
        const steps = daemon.lending.history(server);
        if (steps.length === 0)
          return { verdict: Verdicts.notRun('unknown', `This daemon heard of no loan of ${server}.`) };
        return { verdict: Verdicts.ran('read', 'As this daemon heard it.'), server, steps };
      },
    };
  },
};
