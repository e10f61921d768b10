import type { Chain } from '../chain/chain.js';
import type { FailureDetector } from './failuredetector.js';
import type { Member } from './member.js';
import { CoreTimings } from '../coretimings.js';
import type { ViewChanger } from '../consensus/viewchanger.js';
import type { View } from '../consensus/view.js';
import { Views } from '../consensus/views.js';

/** ms without a lease, though all are heard, after which the view is made anew. */
const LAME = 2 * CoreTimings.suspect;
/** ms for which a member that is heard may leave our beats without a reply: what is sent to it is lost. */
const DEAF = 2 * CoreTimings.suspect;

/**
 * What a member of the chain that votes does about the others: those that are silent, deaf or sick go out of the
 * chain, and a vote goes to a member that has caught up. Invariants: the vote of a daemon goes to its heir of the
 * same id, if that stands in the chain, and else only once its owner is out of the chain and silent, or leaves. A
 * change that was promised and then given up bars every lease for good; so whoever goes long without makes the view
 * anew.
 */
export const RepairTask = {
  make(me: () => Member, mono: () => number, detector: FailureDetector, viewChanger: ViewChanger, chain: Chain) {
    const mine = (m: Member): boolean => Views.same(m, me());
    const known = (m: Member): boolean => detector.heard(m)?.sick === true || detector.emptied(m);
    /** One that a majority does not reply to is cut off itself, and can't tell who else is. */
    const replied = (v: View): boolean =>
      v.voters.filter((m) => mine(m) || detector.deaf(m) < CoreTimings.suspect).length >= Views.most(v);
    const late = (v: View, m: Member, turn: number): boolean =>
      detector.silent(m) > CoreTimings.suspect + turn || (detector.deaf(m) > DEAF + turn && replied(v));
    const gone = (v: View, m: Member): boolean => known(m) || late(v, m, 0);
    /** Members without a vote that hold all of this view. */
    const caught = (v: View): Member[] =>
      v.chain.filter((m) => {
        const h = detector.heard(m);
        return !mine(m) && !Views.votes(v, m) && h?.fresh === true && h.epoch === v.epoch;
      });
    const shorten = (v: View, list: readonly Member[]): void => {
      const up = v.voters.filter((m) => mine(m) || detector.silent(m) < CoreTimings.suspect);
      const turn = up.findIndex(mine) * 300;
      const due = list.find((m) => known(m) || late(v, m, turn));
      if (!due) return;
      const how = detector.heard(due)?.sick
        ? 'sick'
        : detector.emptied(due)
          ? 'emptied'
          : detector.silent(due) > CoreTimings.suspect
            ? 'silent'
            : 'deaf';
      const why = `${list.map((m) => m.id).join(', ')}: ${how}.`;
      void viewChanger.propose(v.voters, Views.without(v, list), why);
    };
    /** Who takes whose vote, if there is such a change to be made. */
    const handing = (v: View): { heir: Member; old: Member } | null => {
      const list = caught(v);
      for (const heir of list) {
        const old = v.voters.find((x) => x.id === heir.id);
        if (old) return { heir, old };
      }
      const named = (x: Member): boolean => v.chain.some((m) => m.id === x.id);
      const old = v.voters.find((x) => !mine(x) && !named(x) && detector.silent(x) > CoreTimings.suspect);
      return list[0] && old ? { heir: list[0], old } : null;
    };
    let since: number | null = null;
    const renew = (v: View): void => {
      const turn = v.voters.findIndex(mine) * 300;
      if (detector.live(v)) since = null;
      else since ??= mono();
      if (since === null || mono() - since <= LAME + turn) return;
      since = null;
      void viewChanger.propose(v.voters, Views.without(v, []), 'No lease was granted, though all are heard.');
    };
    return {
      mind(v: View): void {
        if (viewChanger.busy() || !Views.votes(v, me())) return;
        const mates = v.chain.filter((m) => !mine(m));
        const list = mates.filter((m) => gone(v, m));
        if (list.length > 0) {
          shorten(v, list);
          return;
        }
        renew(v);
        if (viewChanger.busy()) return;
        const hand = handing(v);
        if (hand) {
          const why = `${hand.heir.id} has caught up and votes.`;
          void viewChanger.propose(v.voters, Views.withVoter(v, hand.heir, hand.old), why);
          return;
        }
        const behind = mates.some((m) => {
          const h = detector.heard(m);
          return h && !h.fresh && h.epoch === v.epoch;
        });
        if (Views.same(Views.head(v), me()) && behind) chain.remend();
      },
      /** Proposes the view without this daemon; its vote goes along if there is one to take it. */
      async leave(v: View): Promise<boolean> {
        const next = Views.without(v, [me()]);
        const heir = Views.votes(v, me()) ? caught(v)[0] : undefined;
        const voters = heir ? Views.withVoter(v, heir, me()).voters : v.voters;
        return viewChanger.propose(v.voters, { ...next, voters }, `${me().id} leaves.`);
      },
    };
  },
};
