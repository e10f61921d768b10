import { ModelTenants } from '../modeltenants.js';
import type { Rule } from '../rule.js';

/** A server is told the tenant that holds the client's key, and never the key. */
export const UnaskedRule: Rule = {
  name: 'UNASKED',
  check(e) {
    const all = [...e.ran.values()].flat();
    const faults = all.flatMap((r) => {
      const tenant = ModelTenants.of(e.sent.get(r.id)?.credentials ?? '');
      return [
        ...(r.withKey ? [`${r.id} ran at ${r.server} with the key`] : []),
        ...(r.tenant === tenant ? [] : [`${r.id} ran at ${r.server} as of ${String(r.tenant)}, not ${tenant}`]),
      ];
    });
    return { faults, looked: all.length };
  },
};
