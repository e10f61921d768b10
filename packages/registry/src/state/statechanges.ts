import { Check, type Doc } from '@pumicebarrow/forms';
import { DocParts } from '@pumicebarrow/purge';
import { CoreState } from './corestate.js';
import type { Plan } from './plan.js';
import type { StateChange } from './statechange.js';
import { StateDigest } from './statedigest.js';

type Charter = NonNullable<CoreState['charter']>;
/** Characters of a configuration from which on it is sent as what has changed. */
const LEAST_PARTED = 2048;

const samePlan = (a: Plan | undefined, b: Plan): boolean => a?.id === b.id && a.fate === b.fate;
/** How many of the first plans of `to` stand in `from` in the same order. */
const keptPlans = (from: readonly Plan[], to: readonly Plan[]): number => {
  let at = 0;
  let kept = 0;
  for (const plan of to) {
    while (at < from.length && !samePlan(from[at], plan)) at++;
    if (at === from.length) return kept;
    at++;
    kept++;
  }
  return kept;
};
const changedLeases = (from: CoreState['claims'], to: CoreState['claims']): CoreState['claims'] =>
  Object.fromEntries(
    Object.entries(to).filter(([name, lease]) => {
      const old = from[name];
      return old?.id !== lease.id || old.born !== lease.born || old.fence !== lease.fence;
    }),
  );

/**
 * Computes and applies what changed between two versions of the core's state. Invariant: `apply` gives exactly the
 * version that `between` was given, or null.
 */
export const StateChanges = {
  make() {
    const parts = DocParts.make(LEAST_PARTED);
    const docs = new WeakMap<Charter, Doc>();
    const doc = (charter: Charter): Doc => {
      const known = docs.get(charter);
      if (known) return known;
      const made: Doc = { name: 'charter', mark: [charter.version, 0], body: charter.body };
      docs.set(charter, made);
      return made;
    };
    const charterChange = (from: Charter | null, to: Charter): NonNullable<StateChange['charter']> => {
      const held = from ? parts.held(doc(from)) : null;
      const part = held === null ? null : parts.part(doc(to), held);
      return part ? { version: to.version, plan: to.plan, part } : to;
    };
    const changedCharter = (from: Charter | null, change: NonNullable<StateChange['charter']>): Charter | null => {
      if ('body' in change) return change;
      const laid = from ? parts.lay(doc(from), change.part) : null;
      if (!laid) return null;
      const made = { version: change.version, plan: change.plan, body: laid.body as Charter['body'] };
      docs.set(made, laid);
      return made;
    };
    return {
      between(from: CoreState, to: CoreState): StateChange {
        const kept = keptPlans(from.plans, to.plans);
        const stays = new Set(to.plans.slice(0, kept).map((p) => `${p.id} ${p.fate}`));
        const sameCharter = from.charter?.version === to.charter?.version;
        return {
          base: { seq: from.seq, digest: StateDigest.of(from) },
          result: { seq: to.seq, digest: StateDigest.of(to) },
          ...(sameCharter ? {} : { charter: to.charter && charterChange(from.charter, to.charter) }),
          forgotten: from.plans.filter((p) => !stays.has(`${p.id} ${p.fate}`)).map((p) => p.id),
          plans: to.plans.slice(kept),
          claims: changedLeases(from.claims, to.claims),
          ...(to.bursts && to.bursts !== from.bursts ? { bursts: to.bursts } : {}),
        };
      },
      /** The version that a change makes of the one held; null unless it is the one that the change is against. */
      apply(from: CoreState, change: StateChange): CoreState | null {
        if (from.seq !== change.base.seq || StateDigest.of(from) !== change.base.digest) return null;
        if (change.result.digest === change.base.digest) return from;
        const charter = change.charter ? changedCharter(from.charter, change.charter) : null;
        if (change.charter && !charter) return null;
        const forgotten = new Set(change.forgotten);
        const bursts = change.bursts ?? from.bursts;
        const made: CoreState = {
          seq: change.result.seq,
          charter: change.charter === undefined ? from.charter : charter,
          plans: [...from.plans.filter((p) => !forgotten.has(p.id)), ...change.plans],
          claims: { ...from.claims, ...change.claims },
          ...(bursts ? { bursts } : {}),
        };
        return StateDigest.of(made) === change.result.digest && Check.is(CoreState, made) ? made : null;
      },
    };
  },
};
export type StateChanges = ReturnType<typeof StateChanges.make>;
