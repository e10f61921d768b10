import { Hash } from '@pumicebarrow/forms';
import type { CoreState } from './corestate.js';

const bodies = new WeakMap<object, string>();
const states = new WeakMap<CoreState, string>();
const bodyDigest = (body: object): string => {
  const known = bodies.get(body);
  if (known !== undefined) return known;
  const digest = Hash.of(body);
  bodies.set(body, digest);
  return digest;
};

/**
 * A digest of one version of the core's state. With the sequence number it names a version: two members that hold the
 * same number and digest hold the same state. Computed once for each immutable version.
 */
export const StateDigest = {
  of(state: CoreState): string {
    const known = states.get(state);
    if (known !== undefined) return known;
    const { seq, charter, plans, claims, bursts } = state;
    const head = charter ? [charter.version, charter.plan, bodyDigest(charter.body)] : null;
    const digest = Hash.of([seq, head, plans, claims, bursts ?? null]);
    states.set(state, digest);
    return digest;
  },
};
