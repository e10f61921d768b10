import { Fading, type Clock, type PostBox } from '@pumicebarrow/forms';
import type { Member } from '../membership/member.js';
import { CoreMessages } from '../service/coremessages.js';
import { BootstrapRules } from './bootstraprules.js';
import type { View } from './view.js';

/** Candidates that are remembered at once. */
const MAX_CANDIDATES = 64;
/**
 * How long they are, in ms: longer than candidates that have a view by now may be cut off from those that have none.
 * Whoever meets here late is so told of them, and asks them for their view.
 */
const CANDIDATE_TTL_MS = 60_000;
type Hooks = { clock: Clock; post: PostBox; me: () => Member; view: () => View | null };

/**
 * How a daemon that is no member of the core, but may be a seed, lets candidates for the first view find each other.
 * Invariant: it is never a candidate itself; it tells of every candidate that met it while it is REMEMBERED.
 */
export const Introducer = {
  make(hooks: Hooks): void {
    const candidates = Fading.make<Member>(hooks.clock.mono, MAX_CANDIDATES);
    hooks.post.on('core.look', CoreMessages.empty, () => ({ view: hooks.view(), took: null, me: hooks.me() }));
    hooks.post.on('core.meet', CoreMessages.meet, ({ me }) => {
      candidates.set(me.id, me, CANDIDATE_TTL_MS);
      const known = BootstrapRules.ordered(candidates.all());
      return { view: hooks.view(), took: null, me: hooks.me(), met: known };
    });
  },
};
