import { Clauses, Verdicts, type PostBox, type World } from '@pumicebarrow/forms';
import { NamedLeases } from '../duties/leases.js';
import { CoreMessages } from './coremessages.js';
import { BurstService } from '../lending/burstdesk.js';
import { BurstAdmission } from '../lending/burstrule.js';
import type { Chain } from '../chain/chain.js';
import { CoreTimings } from '../coretimings.js';
import { LiveDaemons } from '../membership/livedaemons.js';
import type { View } from '../consensus/view.js';

type Hooks = {
  view: () => View | null;
  live: () => boolean;
  chain: Chain;
  isTail: () => boolean;
  isHead: () => boolean;
};

/** Where other daemons come to the core: commands and check-ins at the head, reading at the tail, the view anywhere. */
export const CoreService = {
  make(world: World, post: PostBox, h: Hooks) {
    const roll = LiveDaemons.make(world.clock);
    const leases = NamedLeases.make(world.clock, h.chain, h.live);
    let head = false;

    post.on('core.write', CoreMessages.write, async (body) => {
      const c = body.command;
      if (c.do === 'plan' || c.do === 'replace') {
        const faults = Clauses.faults(c.do === 'plan' ? c.charter : c.intent);
        if (faults.length > 0) return { ruling: { verdict: Verdicts.bad(faults) }, term: 0, view: h.view() };
      }
      if (!head || !h.live()) return { ruling: null, term: 0, view: h.view() };
      if (c.do === 'begin' && h.chain.isReady() && !BurstAdmission.mayBegin(h.chain.passed(), c.spec))
        return { ruling: { verdict: BurstAdmission.refusal(c.spec.rule) }, term: 0, view: h.view() };
      const ruling = c.do === 'claim' ? await leases.acquire(c.name, c.id, c.born) : await h.chain.write(c);
      return { ruling, term: c.do === 'claim' && ruling.fence !== undefined ? CoreTimings.lease : 0, view: h.view() };
    });
    post.on('core.read', CoreMessages.read, (body) => {
      const s = h.chain.passed();
      if (!s || !h.isTail() || !h.live()) return { ok: false, view: h.view(), charter: null, plan: null };
      const plan = body.plan === undefined ? null : (s.plans.find((p) => p.id === body.plan) ?? null);
      return { ok: true, view: h.view(), charter: s.charter, plan };
    });
    BurstService.make(post, { view: h.view, read: () => (h.isTail() && h.live() ? h.chain.passed() : null) });
    post.on('core.checkin', CoreMessages.checkin, (body, from) => {
      const ok = head && h.live();
      if (ok) roll.note(from, body.version, body.sum, body.load);
      return {
        ok,
        view: h.view(),
        version: h.chain.passed()?.charter?.version ?? 0,
        roster: ok ? roll.roster() : null,
        load: roll.load(),
      };
    });
    post.on('core.leave', CoreMessages.leave, (body, from) => {
      for (const n of body.names) leases.release(n, from.id, from.born);
      roll.remove(from.id);
      return { ok: true };
    });
    post.on('core.roll', CoreMessages.look, () => ({
      view: h.view(),
      roster: head && h.live() ? roll.withAges() : [],
    }));

    return {
      live: () => roll.roster() ?? [],
      onViewChange(): void {
        const mine = h.isHead();
        if (!head || !mine) roll.reset();
        head = mine;
        leases.onViewChange();
      },
    };
  },
};
