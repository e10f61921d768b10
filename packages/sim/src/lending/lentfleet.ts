import type { FleetConfiguration } from '@pumicebarrow/forms';
import type { Deployment } from '../deployment.js';
import { Deployments } from '../deployments.js';

const rule = Deployments.coop.charter.rules.find((r) => r.name === 'changelog')!;
const rollout = { ...rule, ...{ name: 'rollout', urgency: 0, limit: 200, deadline: 4000, pieces: 24 } };

/** So few live requests that there are next to none. */
const IDLE = 0.001;

/** The two deployments with a charter that lends. */
export const LentFleet = {
  term: 2000,
  of(fleet: 'coop' | 'registry'): Deployment {
    const d = Deployments[fleet];
    const charter: FleetConfiguration = {
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
  /** A fixed split: the first servers for live work alone, as many as the rest for bursts alone. */
  split(fleet: 'coop' | 'registry'): { live: Deployment; bursts: Deployment } {
    const d = LentFleet.of(fleet),
      few = Math.round(d.servers / 3);
    const part = (n: number, rate: number, more: Partial<FleetConfiguration>): Deployment => ({
      ...{ ...d, servers: n, rate },
      charter: { ...d.charter, servers: d.charter.servers.slice(0, n), ...more },
    });
    const reads = (n: number) => ({ ...d.charter.casting, prefill: Math.max(1, Math.round(n / 3)) });
    const all = { prefill: 1, decode: 1 };
    return {
      live: part(d.servers - few, d.rate, { casting: reads(d.servers - few) }),
      bursts: part(few, IDLE, {
        casting: { ...reads(few), floor: all },
        lending: { ...d.charter.lending!, most: all, keep: { prefill: 0, decode: 0 } },
      }),
    };
  },
};
