import { ConfigurationValidator, Verdicts, type Messenger, type World } from '@pumicebarrow/forms';
import { NamedLeases } from '../duties/namedleases.js';
import { CoreMessages } from './coremessages.js';
import { BurstService } from '../lending/burstservice.js';
import { BurstAdmission } from '../lending/burstadmission.js';
import type { Chain } from '../chain/chain.js';
import { CoreTimings } from '../coretimings.js';
import { LiveDaemons } from '../membership/livedaemons.js';
import type { View } from '../consensus/view.js';

type Hooks = {
  view: () => View | null;
  holdsLease: () => boolean;
  chain: Chain;
  isTail: () => boolean;
  isHead: () => boolean;
};

/** Serves other daemons: commands and check-ins at the head, reads at the tail, the view on any member. */
export const CoreService = {
  make(world: World, post: Messenger, hooks: Hooks) {
    const liveDaemons = LiveDaemons.make(world.clock);
    const leases = NamedLeases.make(world.clock, hooks.chain, hooks.holdsLease);
    let leading = false;

    post.on('core.write', CoreMessages.write, async (body) => {
      const command = body.command;
      if (command.do === 'plan' || command.do === 'replace') {
        const faults = ConfigurationValidator.faults(command.do === 'plan' ? command.charter : command.intent);
        if (faults.length > 0) return { ruling: { verdict: Verdicts.invalid(faults) }, term: 0, view: hooks.view() };
      }
      if (!leading || !hooks.holdsLease()) return { ruling: null, term: 0, view: hooks.view() };
      if (
        command.do === 'begin' &&
        hooks.chain.isReady() &&
        !BurstAdmission.mayBegin(hooks.chain.committed(), command.spec)
      )
        return { ruling: { verdict: BurstAdmission.refusal(command.spec.rule) }, term: 0, view: hooks.view() };
      const result =
        command.do === 'claim'
          ? await leases.acquire(command.name, command.id, command.born)
          : await hooks.chain.write(command);
      return {
        ruling: result,
        term: command.do === 'claim' && result.fence !== undefined ? CoreTimings.namedLeaseMs : 0,
        view: hooks.view(),
      };
    });
    post.on('core.read', CoreMessages.read, (body) => {
      const state = hooks.chain.committed();
      if (!state || !hooks.isTail() || !hooks.holdsLease())
        return { ok: false, view: hooks.view(), charter: null, plan: null };
      const plan = body.plan === undefined ? null : (state.plans.find((p) => p.id === body.plan) ?? null);
      return { ok: true, view: hooks.view(), charter: state.charter, plan };
    });
    BurstService.make(post, {
      view: hooks.view,
      read: () => (hooks.isTail() && hooks.holdsLease() ? hooks.chain.committed() : null),
    });
    post.on('core.checkin', CoreMessages.checkIn, (body, from) => {
      const ok = leading && hooks.holdsLease();
      if (ok) liveDaemons.record(from, body.version, body.sum, body.load);
      return {
        ok,
        view: hooks.view(),
        version: hooks.chain.committed()?.charter?.version ?? 0,
        roster: ok ? liveDaemons.roster() : null,
        load: liveDaemons.totalLoad(),
      };
    });
    post.on('core.leave', CoreMessages.leave, (body, from) => {
      for (const name of body.names) leases.release(name, from.id, from.born);
      liveDaemons.remove(from.id);
      return { ok: true };
    });
    post.on('core.roll', CoreMessages.empty, () => ({
      view: hooks.view(),
      roster: leading && hooks.holdsLease() ? liveDaemons.withAges() : [],
    }));

    return {
      liveDaemons: () => liveDaemons.roster() ?? [],
      onViewChange(): void {
        const leads = hooks.isHead();
        if (!leading || !leads) liveDaemons.reset();
        leading = leads;
        leases.onViewChange();
      },
    };
  },
};
