import { Dice, Timer, type PostBox, type World } from '@pumicebarrow/forms';
import { CoreMessages } from '../service/coremessages.js';
import type { Member } from '../membership/member.js';
import { BootstrapRules } from './bootstraprules.js';
import { ViewLimits } from './viewlimits.js';
import { CoreTimings } from '../coretimings.js';
import type { AddressBook } from '../membership/addressbook.js';
import type { View } from './view.js';
import { Views } from './views.js';
import type { Voter } from './voter.js';
import { VoterRules } from './voterrules.js';

type Voice = {
  ok: boolean;
  wait?: number;
  promised: number;
  took?: { ballot: number; view: View } | null;
  view: View | null;
};

/** Ballots come in blocks of so many. Invariant: each voter has one of its own in every block,
 * and those that have no vote share the last. */
const BLOCK = ViewLimits.maxVoters + 1;
/** Members by name, in their order. */
const text = (list: readonly Member[]): string => JSON.stringify(list.map((m) => [m.id, m.born]));

/**
 * Proposes the next view to the voters of the present one.
 * Invariants: at most one view is chosen for an epoch, whoever proposes and however often; the first one, which has no
 * voters before it, is put to all that could be among them: all must promise it before any voter takes it.
 */
export const ViewChanger = {
  make(
    world: World,
    post: PostBox,
    me: () => Member,
    addresses: AddressBook,
    voter: Voter,
    adopt: (v: View) => Promise<boolean>,
  ) {
    let busy = false;
    let top = 0;
    let told: Promise<unknown> = Promise.resolve();
    const log = world.log('view');

    const ballot = (voters: readonly Member[]): number => {
      const place = voters.findIndex((m) => m.id === me().id);
      const mine = place < 0 ? ViewLimits.maxVoters : place;
      const n = Math.floor(top / BLOCK) * BLOCK + BLOCK + mine;
      top = n;
      return n;
    };
    /** What voters say, as soon as enough of them say yes; else what all say that can be heard. */
    const poll = (
      voters: readonly Member[],
      need: number,
      one: (m: Member) => Promise<Voice | null>,
    ): Promise<Voice[]> =>
      new Promise((done) => {
        const got: Voice[] = [];
        let left = voters.length;
        for (const m of voters)
          void one(m).then((v) => {
            if (v) got.push(v);
            if (--left === 0 || got.filter((x) => x.ok).length >= need) done([...got]);
          });
      });
    const round = async (voters: readonly Member[], next: View, promisers: readonly Member[]): Promise<View | null> => {
      const n = ballot(voters),
        epoch = next.epoch,
        most = Math.floor(voters.length / 2) + 1;
      const needed = (taken: boolean): number =>
        epoch === 1 ? BootstrapRules.promisesNeeded(promisers.length, voters.length, taken) : most;
      const first = await poll(promisers, needed(false), async (m) => {
        if (Views.same(m, me())) return { ...(await voter.prepare(epoch, n)), view: null };
        const r = await post.ask(
          addresses.addressOf(m),
          m.id,
          'core.prepare',
          { epoch, ballot: n },
          CoreMessages.prepared,
          CoreTimings.requestTimeoutMs,
        );
        return r.ok ? r.val : null;
      });
      for (const v of first) top = Math.max(top, v.promised);
      const ahead = first.find((v) => v.view && v.view.epoch >= epoch);
      if (ahead?.view) {
        await adopt(ahead.view);
        return null;
      }
      const yes = first.filter((v) => v.ok);
      const taken = yes.some((v) => v.took);
      // Nobody else may count those that promised.
      if (BootstrapRules.isTakenOver(promisers.length, voters.length, taken)) return null;
      if (yes.length < needed(taken)) {
        const wait = Math.min(CoreTimings.viewLeaseMs, Math.max(...first.map((v) => v.wait ?? 0), 0));
        await Timer.nap(world.clock, wait + Dice.int(world.chance, 60));
        return null;
      }
      const view = VoterRules.choice(yes, next);
      if (epoch === 1 && text(view.voters) !== text(voters)) return null;
      const second = await poll(voters, most, async (m) => {
        if (Views.same(m, me())) return { ...(await voter.accept(epoch, n, view)), view: null };
        const r = await post.ask(
          addresses.addressOf(m),
          m.id,
          'core.accept',
          { epoch, ballot: n, view },
          CoreMessages.accepted,
          CoreTimings.requestTimeoutMs,
        );
        return r.ok ? r.val : null;
      });
      for (const v of second) top = Math.max(top, v.promised);
      return second.filter((v) => v.ok).length >= most ? view : null;
    };

    return {
      isBusy: (): boolean => busy,
      /** Settles when all members of the view agreed last have been told of it, or could not be. */
      announced: (): Promise<unknown> => told,
      /**
       * Tries for a while; true once some view of that epoch is in force here. The first view may have to be promised
       * by more daemons than will vote: `promisers`.
       */
      async propose(
        voters: readonly Member[],
        next: View,
        why: string,
        promisers: readonly Member[] = voters,
      ): Promise<boolean> {
        if (busy) return false;
        busy = true;
        try {
          for (let i = 0; i < 6; i++) {
            const view = await round(voters, next, promisers);
            if (view) {
              log.say(`View ${view.epoch} is agreed: ${view.chain.map((m) => m.id).join(' > ')}. ${why}`);
              world.tell({ what: 'view', epoch: view.epoch, chain: view.chain.map((m) => `${m.id}/${m.born}`) });
              const done = await adopt(view);
              told = Promise.all(
                Views.all(view)
                  .filter((m) => !Views.same(m, me()))
                  .map((m) =>
                    post.ask(
                      addresses.addressOf(m),
                      m.id,
                      'core.view',
                      { view },
                      CoreMessages.done,
                      CoreTimings.requestTimeoutMs,
                    ),
                  ),
              );
              return done;
            }
          }
          return false;
        } finally {
          busy = false;
        }
      },
    };
  },
};
/** A view changer as its users see it. */
export type ViewChanger = ReturnType<typeof ViewChanger.make>;
