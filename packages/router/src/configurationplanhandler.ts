import {
  ConfigurationValidator,
  Err,
  Verdict,
  Verdicts,
  type Fault,
  type Configuration,
  type Messenger,
  type Result,
} from '@pumicebarrow/forms';
import { ConfigurationDiff, type ControlClient } from '@pumicebarrow/registry';
import { Type } from 'typebox';

/** Parses an operator's text into a configuration. */
type ParseConfiguration = (text: string) => Result<Configuration, Fault[]>;
const strict = { additionalProperties: false } as const;
const Change = Type.Object({ path: Type.String(), words: Type.String() }, strict);
/** How long the tail of the chain may take to return the configuration. */
const READ_TIMEOUT_MS = 2500;
const FIRST_CONFIGURATION_TEXT = 'There is no configuration yet; all of this is new.';

/**
 * Handles operators' requests to plan a configuration; the text has the same format as for a replacement in one step.
 * Invariants: only a configuration that was parsed completely and validated becomes a plan; a plan is only stored, and
 * takes effect when it is confirmed.
 */
export const ConfigurationPlanHandler = {
  schemas: {
    request: Type.Object({ id: Type.String({ pattern: '^[\\w.:-]{1,60}$' }), text: Type.String() }, strict),
    response: Type.Object({ verdict: Verdict, base: Type.Integer(), changes: Type.Array(Change) }, strict),
  },
  make(post: Messenger, controlClient: ControlClient, parse: ParseConfiguration | null): void {
    const parseAndValidate = (text: string): Result<Configuration, Fault[]> => {
      const parsed = parse ? parse(text) : Err([{ path: '', why: 'can be read by no one here' }]);
      const faults = parsed.ok ? ConfigurationValidator.faults(parsed.val) : [];
      return faults.length > 0 ? Err(faults) : parsed;
    };
    post.on('intent.plan', ConfigurationPlanHandler.schemas.request, async ({ id, text }) => {
      const proposed = parseAndValidate(text);
      if (proposed.err) return { verdict: Verdicts.invalid(proposed.val), base: 0, changes: [] };
      const current = await controlClient.read(undefined, READ_TIMEOUT_MS);
      if (!current)
        return {
          verdict: Verdicts.notRun('unready', 'The core does not reply; nothing was read.', 1),
          base: 0,
          changes: [],
        };
      const base = current.charter?.version ?? 0;
      const { ruling } = await controlClient.write({ do: 'plan', id, base, charter: proposed.val });
      const previous = current.charter?.body ?? null;
      const changes = ConfigurationDiff.of(previous, proposed.val).map(({ path, words }) => ({
        path,
        words: previous ? words : FIRST_CONFIGURATION_TEXT,
      }));
      return { verdict: ruling.verdict, base, changes };
    });
  },
};
