import { Hash } from '@pumicebarrow/forms';
import type { CoreState } from './corestate.js';

const bodyDigests = new WeakMap<object, string>();
const stateDigests = new WeakMap<CoreState, string>();
const bodyDigest = (body: object): string => {
  const cached = bodyDigests.get(body);
  if (cached !== undefined) return cached;
  const digest = Hash.ofValue(body);
  bodyDigests.set(body, digest);
  return digest;
};

/**
 * A digest of one version of the replicated state. Together with the sequence number it identifies a version: two
 * members with the same number and digest hold the same state. Computed once for each immutable version.
 */
export const StateDigest = {
  of(state: CoreState): string {
    const cached = stateDigests.get(state);
    if (cached !== undefined) return cached;
    const { seq, charter: configuration, plans, claims, bursts } = state;
    const configurationFields = configuration
      ? [configuration.version, configuration.plan, bodyDigest(configuration.body)]
      : null;
    const digest = Hash.ofValue([seq, configurationFields, plans, claims, bursts ?? null]);
    stateDigests.set(state, digest);
    return digest;
  },
};
