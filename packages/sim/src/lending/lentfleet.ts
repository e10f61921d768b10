import type { Charter } from '@pumicebarrow/forms';
import type { Deployment } from '../deployment.js';
import { Deployments } from '../deployments.js';

const rule = Deployments.coop.charter.rules.find((r) => r.name === 'changelog')!;
const rollout = { ...rule, ...{ name: 'rollout', urgency: 0, limit: 200, deadline: 4000, pieces: 24 } };

/** The two deployments with a charter that lends. */
export const LentFleet = {
  term: 2000,
  of(fleet: 'coop' | 'registry'): Deployment {
    const d = Deployments[fleet];
    const charter: Charter = {
      ...d.charter,
      rules: [...d.charter.rules, rollout],
      lending: {
        rules: ['rollout'],
        most: { prefill: 0.5, decode: 0.5 },
        keep: { prefill: 4, decode: 6 },
        length: LentFleet.term,
      },
    };
    return { ...d, charter };
  },
};
