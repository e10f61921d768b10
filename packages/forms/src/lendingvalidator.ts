import type { FleetConfiguration } from './fleetconfiguration.js';
import type { Fault } from './fault.js';

/** The longest answer, in pieces, that a burst may have: the control replicas store the answers of bursts. */
const MAX_ANSWER_PIECES = 256;

/** Validates the lending section of a configuration against its routes and servers. */
export const LendingValidator = {
  faults(c: FleetConfiguration): Fault[] {
    const lending = c.lending;
    if (!lending) return [];
    const liveRoutes = c.rules.filter((r) => !lending.rules.includes(r.name));
    const lowestLiveUrgency = Math.min(...liveRoutes.map((r) => r.urgency));
    const faults = lending.rules.flatMap((name, i): Fault[] => {
      const path = `/lending/rules/${i}`,
        route = c.rules.find((r) => r.name === name);
      if (lending.rules.indexOf(name) < i) return [{ path, why: `names ${name} again` }];
      if (!route) return [{ path, why: `names the unknown rule ${name}` }];
      if (name === c.fallback) return [{ path, why: `names ${name}, which requests that name none fall back to` }];
      if (route.urgency >= lowestLiveUrgency)
        return [{ path, why: `${name} is not less urgent than every rule of live work` }];
      if (route.pieces > MAX_ANSWER_PIECES)
        return [{ path, why: `${name} has answers of more than ${MAX_ANSWER_PIECES} pieces` }];
      return [];
    });
    if (liveRoutes.length === 0) faults.push({ path: '/lending/rules', why: 'leaves no rule for live work' });
    for (const stage of ['prefill', 'decode'] as const) {
      const slots = c.servers.filter((s) => s.part === stage || s.part === 'either').reduce((n, s) => n + s.slots, 0);
      if (lending.keep[stage] > slots)
        faults.push({
          path: `/lending/keep/${stage}`,
          why: `keeps ${lending.keep[stage]} but servers that can ${stage} have ${slots} slots`,
        });
    }
    return faults;
  },
};
