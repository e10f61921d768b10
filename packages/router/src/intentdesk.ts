import {
  Clauses,
  Err,
  Verdict,
  Verdicts,
  type Fault,
  type Intent,
  type PostBox,
  type Result,
} from '@pumicebarrow/forms';
import { Diff, type ControlClient } from '@pumicebarrow/registry';
import { Type } from 'typebox';

/** How an operator's text becomes an intent. */
type Read = (text: string) => Result<Intent, Fault[]>;
const shut = { additionalProperties: false } as const;
const Change = Type.Object({ path: Type.String(), words: Type.String() }, shut);
const READ = 2500;
const FIRST = 'There is no configuration yet; all of this is new.';

/**
 * Where operators have a configuration planned, in the same form in which it is sent in one step. Invariants: only what
 * was read whole and checked becomes a plan; a plan is stored and no more: it takes hold when it is confirmed.
 */
export const IntentDesk = {
  forms: {
    request: Type.Object({ id: Type.String({ pattern: '^[\\w.:-]{1,60}$' }), text: Type.String() }, shut),
    told: Type.Object({ verdict: Verdict, base: Type.Integer(), changes: Type.Array(Change) }, shut),
  },
  make(post: PostBox, line: ControlClient, read: Read | null): void {
    const whole = (text: string): Result<Intent, Fault[]> => {
      const got = read ? read(text) : Err([{ path: '', why: 'can be read by no one here' }]);
      const faults = got.ok ? Clauses.faults(got.val) : [];
      return faults.length > 0 ? Err(faults) : got;
    };
    post.on('intent.plan', IntentDesk.forms.request, async ({ id, text }) => {
      const will = whole(text);
      if (will.err) return { verdict: Verdicts.bad(will.val), base: 0, changes: [] };
      const now = await line.read(undefined, READ);
      if (!now)
        return {
          verdict: Verdicts.not('unready', 'The core does not reply; nothing was read.', 1),
          base: 0,
          changes: [],
        };
      const base = now.charter?.version ?? 0;
      const { ruling } = await line.write({ do: 'plan', id, base, charter: will.val });
      const was = now.charter?.body ?? null;
      const changes = Diff.of(was, will.val).map(({ path, words }) => ({ path, words: was ? words : FIRST }));
      return { verdict: ruling.verdict, base, changes };
    });
  },
};
