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
type ParseConfiguration = (text: string) => Result<Intent, Fault[]>;
const strict = { additionalProperties: false } as const;
const Change = Type.Object({ path: Type.String(), words: Type.String() }, strict);
const READ_TIMEOUT_MS = 2500;
const FIRST_CONFIGURATION_TEXT = 'There is no configuration yet; all of this is new.';

/**
 * Where operators have a configuration planned, in the same form in which it is sent in one step. Invariants: only what
 * was read whole and checked becomes a plan; a plan is stored and no more: it takes hold when it is confirmed.
 */
export const IntentDesk = {
  forms: {
    request: Type.Object({ id: Type.String({ pattern: '^[\\w.:-]{1,60}$' }), text: Type.String() }, strict),
    told: Type.Object({ verdict: Verdict, base: Type.Integer(), changes: Type.Array(Change) }, strict),
  },
  make(post: PostBox, controlClient: ControlClient, parse: ParseConfiguration | null): void {
    const parseAndValidate = (text: string): Result<Intent, Fault[]> => {
      const parsed = parse ? parse(text) : Err([{ path: '', why: 'can be read by no one here' }]);
      const faults = parsed.ok ? Clauses.faults(parsed.val) : [];
      return faults.length > 0 ? Err(faults) : parsed;
    };
    post.on('intent.plan', IntentDesk.forms.request, async ({ id, text }) => {
      const proposed = parseAndValidate(text);
      if (proposed.err) return { verdict: Verdicts.bad(proposed.val), base: 0, changes: [] };
      const current = await controlClient.read(undefined, READ_TIMEOUT_MS);
      if (!current)
        return {
          verdict: Verdicts.not('unready', 'The core does not reply; nothing was read.', 1),
          base: 0,
          changes: [],
        };
      const base = current.charter?.version ?? 0;
      const { ruling } = await controlClient.write({ do: 'plan', id, base, charter: proposed.val });
      const previous = current.charter?.body ?? null;
      const changes = Diff.of(previous, proposed.val).map(({ path, words }) => ({
        path,
        words: previous ? words : FIRST_CONFIGURATION_TEXT,
      }));
      return { verdict: ruling.verdict, base, changes };
    });
  },
};
