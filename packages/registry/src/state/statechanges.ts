import { SchemaCheck, type Doc } from '@pumicebarrow/forms';
import { DocDeltas } from '@pumicebarrow/purge';
import { CoreState } from './corestate.js';
import type { Plan } from './plan.js';
import type { StateChange } from './statechange.js';
import { StateDigest } from './statedigest.js';

type VersionedConfiguration = NonNullable<CoreState['charter']>;
/** A configuration of at least this many characters is sent as a partial change. */
const MIN_PARTIAL_CHARS = 2048;

const samePlan = (a: Plan | undefined, b: Plan): boolean => a?.id === b.id && a.fate === b.fate;
/** How many of the first plans of `to` are in `from` in the same order. */
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
 * Computes and applies changes between two versions of the replicated state. Invariant: `apply` returns exactly the
 * version that `between` was given as its target, or null.
 */
export const StateChanges = {
  make() {
    const parts = DocDeltas.make(MIN_PARTIAL_CHARS);
    const docs = new WeakMap<VersionedConfiguration, Doc>();
    const docOf = (configuration: VersionedConfiguration): Doc => {
      const cached = docs.get(configuration);
      if (cached) return cached;
      const created: Doc = { name: 'charter', mark: [configuration.version, 0], body: configuration.body };
      docs.set(configuration, created);
      return created;
    };
    const configurationChange = (
      from: VersionedConfiguration | null,
      to: VersionedConfiguration,
    ): NonNullable<StateChange['charter']> => {
      const heldParts = from ? parts.chunkDigests(docOf(from)) : null;
      const part = heldParts === null ? null : parts.diff(docOf(to), heldParts);
      return part ? { version: to.version, plan: to.plan, part } : to;
    };
    const applyConfigurationChange = (
      from: VersionedConfiguration | null,
      change: NonNullable<StateChange['charter']>,
    ): VersionedConfiguration | null => {
      if ('body' in change) return change;
      const patched = from ? parts.apply(docOf(from), change.part) : null;
      if (!patched) return null;
      const created = {
        version: change.version,
        plan: change.plan,
        body: patched.body as VersionedConfiguration['body'],
      };
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
      /**
       * Applies a change to the version held; null if the change is against another version or its outcome does not
       * match.
       */
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
        return StateDigest.of(result) === change.result.digest && SchemaCheck.matches(CoreState, result)
          ? result
          : null;
      },
    };
  },
};
export type StateChanges = ReturnType<typeof StateChanges.make>;
