import type { Links } from './links.js';
import type { Lookout } from './lookout.js';
import type { Member } from './member.js';
import { Paces } from './paces.js';
import type { Rudder } from './rudder.js';
import type { View } from './view.js';
import { Views } from './views.js';

/** ms without a lease, though all are heard, after which the view is made anew. */
const LAME = 2 * Paces.suspect;
/** ms for which a member that is heard may leave our beats without a reply: what is sent to it is lost. */
const DEAF = 2 * Paces.suspect;

/**
 * What a member of the chain that votes does about the others: those that are silent, deaf or sick go out of the
 * chain, and a vote goes to a member that has caught up. Invariants: the vote of a daemon goes to its heir of the
 * same id, if that stands in the chain, and else only once its owner is out of the chain and silent, or leaves. A
 * change that was promised and then given up bars every lease for good; so whoever goes long without makes the view
 * anew.
 */
export const Minder = {
  make(me: () => Member, mono: () => number, watch: Lookout, helm: Rudder, chain: Links) {
    const mine = (m: Member): boolean => Views.same(m, me());
    const known = (m: Member): boolean => watch.heard(m)?.sick === true || watch.emptied(m);
    /** One that a majority does not reply to is cut off itself, and can't tell who else is. */
    const replied = (v: View): boolean =>
      v.voters.filter((m) => mine(m) || watch.deaf(m) < Paces.suspect).length >= Views.most(v);
    const late = (v: View, m: Member, turn: number): boolean =>
      watch.silent(m) > Paces.suspect + turn || (watch.deaf(m) > DEAF + turn && replied(v));
    const gone = (v: View, m: Member): boolean => known(m) || late(v, m, 0);
    /** Members without a vote that hold all of this view. */
    const caught = (v: View): Member[] =>
      v.chain.filter((m) => {
        const h = watch.heard(m);
        return !mine(m) && !Views.votes(v, m) && h?.fresh === true && h.epoch === v.epoch;
      });
    const shorten = (v: View, list: readonly Member[]): void => {
      const up = v.voters.filter((m) => mine(m) || watch.silent(m) < Paces.suspect);
      const turn = up.findIndex(mine) * 300;
      const due = list.find((m) => known(m) || late(v, m, turn));
      if (!due) return;
      const how = watch.heard(due)?.sick
        ? 'sick'
        : watch.emptied(due)
          ? 'emptied'
          : watch.silent(due) > Paces.suspect
            ? 'silent'
            : 'deaf';
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
    let since: number | null = null;
    const renew = (v: View): void => {
      const turn = v.voters.findIndex(mine) * 300;
      if (watch.live(v)) since = null;
      else since ??= mono();
      if (since === null || mono() - since <= LAME + turn) return;
      since = null;
      void helm.propose(v.voters, Views.without(v, []), 'No lease was granted, though all are heard.');
    };
    return {
      mind(v: View): void {
        if (helm.busy() || !Views.votes(v, me())) return;
        const mates = v.chain.filter((m) => !mine(m));
        const list = mates.filter((m) => gone(v, m));
        if (list.length > 0) {
          shorten(v, list);
          return;
        }
        renew(v);
        if (helm.busy()) return;
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
