import { Check, type Doc } from '@pumicebarrow/forms';
import { DocParts } from '@pumicebarrow/purge';
import { CoreState } from './corestate.js';
import type { Plan } from './plan.js';
import type { StateChange } from './statechange.js';
import { StateDigest } from './statedigest.js';

type Configuration = NonNullable<CoreState['charter']>;
/** Characters of a configuration from which on it is sent as what has changed. */
const MIN_PARTIAL_CHARS = 2048;

const samePlan = (a: Plan | undefined, b: Plan): boolean => a?.id === b.id && a.fate === b.fate;
/** How many of the first plans of `to` stand in `from` in the same order. */
const retainedPlanCount = (from: readonly Plan[], to: readonly Plan[]): number => {
  let index = 0;
  let retained = 0;
  for (const plan of to) {
    while (index < from.length && !samePlan(from[index], plan)) index++;
    if (index === from.length) return retained;
    index++;
    retained++;
  }
  return retained;
};
const changedLeases = (from: CoreState['claims'], to: CoreState['claims']): CoreState['claims'] =>
  Object.fromEntries(
    Object.entries(to).filter(([name, lease]) => {
      const previous = from[name];
      return previous?.id !== lease.id || previous.born !== lease.born || previous.fence !== lease.fence;
    }),
  );

/**
 * Computes and applies what changed between two versions of the core's state. Invariant: `apply` gives exactly the
 * version that `between` was given, or null.
 */
export const StateChanges = {
  make() {
    const parts = DocParts.make(MIN_PARTIAL_CHARS);
    const docs = new WeakMap<Configuration, Doc>();
    const docOf = (configuration: Configuration): Doc => {
      const cached = docs.get(configuration);
      if (cached) return cached;
      const created: Doc = { name: 'charter', mark: [configuration.version, 0], body: configuration.body };
      docs.set(configuration, created);
      return created;
    };
    const configurationChange = (
      from: Configuration | null,
      to: Configuration,
    ): NonNullable<StateChange['charter']> => {
      const heldParts = from ? parts.held(docOf(from)) : null;
      const part = heldParts === null ? null : parts.part(docOf(to), heldParts);
      return part ? { version: to.version, plan: to.plan, part } : to;
    };
    const applyConfigurationChange = (
      from: Configuration | null,
      change: NonNullable<StateChange['charter']>,
    ): Configuration | null => {
      if ('body' in change) return change;
      const patched = from ? parts.lay(docOf(from), change.part) : null;
      if (!patched) return null;
      const created = { version: change.version, plan: change.plan, body: patched.body as Configuration['body'] };
      docs.set(created, patched);
      return created;
    };
    return {
      between(from: CoreState, to: CoreState): StateChange {
        const retained = retainedPlanCount(from.plans, to.plans);
        const retainedKeys = new Set(to.plans.slice(0, retained).map((p) => `${p.id} ${p.fate}`));
        const sameConfiguration = from.charter?.version === to.charter?.version;
        return {
          base: { seq: from.seq, digest: StateDigest.of(from) },
          result: { seq: to.seq, digest: StateDigest.of(to) },
          ...(sameConfiguration ? {} : { charter: to.charter && configurationChange(from.charter, to.charter) }),
          forgotten: from.plans.filter((p) => !retainedKeys.has(`${p.id} ${p.fate}`)).map((p) => p.id),
          plans: to.plans.slice(retained),
          claims: changedLeases(from.claims, to.claims),
          ...(to.bursts && to.bursts !== from.bursts ? { bursts: to.bursts } : {}),
        };
      },
      /** The version that a change makes of the one held; null unless it is the one that the change is against. */
      apply(from: CoreState, change: StateChange): CoreState | null {
        if (from.seq !== change.base.seq || StateDigest.of(from) !== change.base.digest) return null;
        if (change.result.digest === change.base.digest) return from;
        const configuration = change.charter ? applyConfigurationChange(from.charter, change.charter) : null;
        if (change.charter && !configuration) return null;
        const forgotten = new Set(change.forgotten);
        const bursts = change.bursts ?? from.bursts;
        const result: CoreState = {
          seq: change.result.seq,
          charter: change.charter === undefined ? from.charter : configuration,
          plans: [...from.plans.filter((p) => !forgotten.has(p.id)), ...change.plans],
          claims: { ...from.claims, ...change.claims },
          ...(bursts ? { bursts } : {}),
        };
        return StateDigest.of(result) === change.result.digest && Check.is(CoreState, result) ? result : null;
      },
    };
  },
};
export type StateChanges = ReturnType<typeof StateChanges.make>;
