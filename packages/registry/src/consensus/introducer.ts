import { ExpiringMap, type Clock, type Messenger } from '@pumicebarrow/forms';
import type { Member } from '../membership/member.js';
import { CoreMessages } from '../service/coremessages.js';
import { BootstrapRules } from './bootstraprules.js';
import type { View } from './view.js';

/** Candidates remembered at the same time. */
const MAX_CANDIDATES = 64;
/**
 * Longer than candidates that already have a view may be partitioned from those without one. A candidate that arrives
 * late is told of the former and asks them for their view.
 */
const CANDIDATE_TTL_MS = 60_000;
type Hooks = { clock: Clock; post: Messenger; me: () => Member; view: () => View | null };

/**
 * Lets candidates for the first view find each other through a daemon that is not a control replica but may be a seed.
 * Invariant: it is never a candidate itself; it reports every candidate that contacted it within CANDIDATE_TTL_MS.
 */
export const Introducer = {
  make(hooks: Hooks): void {
    const candidates = ExpiringMap.make<Member>(hooks.clock.mono, MAX_CANDIDATES);
    hooks.post.on('core.look', CoreMessages.empty, () => ({ view: hooks.view(), took: null, me: hooks.me() }));
    hooks.post.on('core.meet', CoreMessages.meet, ({ me }) => {
      candidates.set(me.id, me, CANDIDATE_TTL_MS);
      const known = BootstrapRules.sortedById(candidates.values());
      return { view: hooks.view(), took: null, me: hooks.me(), met: known };
    });
  },
};
