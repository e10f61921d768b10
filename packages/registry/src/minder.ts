import type { Links } from './links.js';
import type { Lookout } from './lookout.js';
import type { Member } from './member.js';
import { Paces } from './paces.js';
import type { Rudder } from './rudder.js';
import type { View } from './view.js';
import { Views } from './views.js';

/**
 * What a member of the chain that votes does about the others: those that are silent or sick go out of the chain, and a
 * vote goes to a member that has caught up. Invariants: the vote of a daemon goes to its heir of the same id, if that
 * stands in the chain, and else only once its owner is out of the chain and silent, or leaves.
 */
export const Minder = {
  make(me: () => Member, watch: Lookout, helm: Rudder, chain: Links) {
    const mine = (m: Member): boolean => Views.same(m, me());
    const known = (m: Member): boolean => watch.heard(m)?.sick === true || watch.emptied(m);
    const gone = (m: Member): boolean => known(m) || watch.silent(m) > Paces.suspect;
    /** Members without a vote that hold all of this view. */
    const caught = (v: View): Member[] =>
      v.chain.filter((m) => {
        const h = watch.heard(m);
        return !mine(m) && !Views.votes(v, m) && h?.fresh === true && h.epoch === v.epoch;
      });
    const shorten = (v: View, list: readonly Member[]): void => {
      const up = v.voters.filter((m) => mine(m) || watch.silent(m) < Paces.suspect);
      const turn = up.findIndex(mine) * 300;
      const due = list.find((m) => known(m) || watch.silent(m) > Paces.suspect + turn);
      if (!due) return;
      const how = watch.heard(due)?.sick ? 'sick' : watch.emptied(due) ? 'emptied' : 'silent';
      const why = `${list.map((m) => m.id).join(', ')}: ${how}.`;
      void helm.propose(v.voters, Views.without(v, list), why);
    };
    /** Who takes whose vote, if there is such a change to be made. */
    const handing = (v: View): { heir: Member; old: Member } | null => {
      const list = caught(v);
      for (const heir of list) {
        const old = v.voters.find((x) => x.id === heir.id);
        if (old) return { heir, old };
      }
      const named = (x: Member): boolean => v.chain.some((m) => m.id === x.id);
      const old = v.voters.find((x) => !mine(x) && !named(x) && watch.silent(x) > Paces.suspect);
      return list[0] && old ? { heir: list[0], old } : null;
    };
    return {
      mind(v: View): void {
        if (helm.busy() || !Views.votes(v, me())) return;
        const mates = v.chain.filter((m) => !mine(m));
        const list = mates.filter(gone);
        if (list.length > 0) {
          shorten(v, list);
          return;
        }
        const hand = handing(v);
        if (hand) {
          const why = `${hand.heir.id} has caught up and votes.`;
          void helm.propose(v.voters, Views.withVoter(v, hand.heir, hand.old), why);
          return;
        }
        const behind = mates.some((m) => {
          const h = watch.heard(m);
          return h && !h.fresh && h.epoch === v.epoch;
        });
        if (Views.same(Views.head(v), me()) && behind) chain.remend();
      },
      /** Proposes the view without this daemon; its vote goes along if there is one to take it. */
      async leave(v: View): Promise<boolean> {
        const next = Views.without(v, [me()]);
        const heir = Views.votes(v, me()) ? caught(v)[0] : undefined;
        const voters = heir ? Views.withVoter(v, heir, me()).voters : v.voters;
        return helm.propose(v.voters, { ...next, voters }, `${me().id} leaves.`);
      },
    };
  },
};
