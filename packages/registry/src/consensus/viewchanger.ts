import { Random, Timer, type Messenger, type World } from '@pumicebarrow/forms';
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

/** A voter's reply to a prepare or an accept request. */
type VoterReply = {
  ok: boolean;
  wait?: number;
  promised: number;
  took?: { ballot: number; view: View } | null;
  view: View | null;
};

/**
 * Ballot numbers are allocated in blocks of this size. Invariant: each voter has one number of its own in every block;
 * members without a vote share the last one.
 */
const BALLOT_BLOCK_SIZE = ViewLimits.maxVoters + 1;
/** Identifies members by id and incarnation, in their order. */
const serialize = (members: readonly Member[]): string => JSON.stringify(members.map((m) => [m.id, m.born]));

/**
 * Proposes the next view to the voters of the present one (single-decree Paxos for each epoch). Invariants: at most one
 * view is chosen for an epoch, whoever proposes and however often. The first view has no earlier voters, so it is put
 * to every possible voter: all must promise it before any voter accepts it.
 */
export const ViewChanger = {
  make(
    world: World,
    post: Messenger,
    me: () => Member,
    addresses: AddressBook,
    voter: Voter,
    adopt: (v: View) => Promise<boolean>,
  ) {
    let proposing = false;
    let highestBallot = 0;
    let announcements: Promise<unknown> = Promise.resolve();
    const log = world.log('view');

    const nextBallot = (voters: readonly Member[]): number => {
      const position = voters.findIndex((m) => m.id === me().id);
      const offset = position < 0 ? ViewLimits.maxVoters : position;
      const ballot = Math.floor(highestBallot / BALLOT_BLOCK_SIZE) * BALLOT_BLOCK_SIZE + BALLOT_BLOCK_SIZE + offset;
      highestBallot = ballot;
      return ballot;
    };
    /** Collects the voters' replies, until `quorum` of them agree or every voter has answered or timed out. */
    const poll = (
      voters: readonly Member[],
      quorum: number,
      askVoter: (m: Member) => Promise<VoterReply | null>,
    ): Promise<VoterReply[]> =>
      new Promise((resolve) => {
        const replies: VoterReply[] = [];
        let remaining = voters.length;
        for (const m of voters)
          void askVoter(m).then((reply) => {
            if (reply) replies.push(reply);
            if (--remaining === 0 || replies.filter((x) => x.ok).length >= quorum) resolve([...replies]);
          });
      });
    const round = async (voters: readonly Member[], next: View, promisers: readonly Member[]): Promise<View | null> => {
      const ballot = nextBallot(voters),
        epoch = next.epoch,
        majority = Math.floor(voters.length / 2) + 1;
      const promisesNeeded = (hasAcceptedView: boolean): number =>
        epoch === 1 ? BootstrapRules.promisesNeeded(promisers.length, voters.length, hasAcceptedView) : majority;
      const promises = await poll(promisers, promisesNeeded(false), async (m) => {
        if (Views.sameMember(m, me())) return { ...(await voter.prepare(epoch, ballot)), view: null };
        const reply = await post.ask(
          addresses.addressOf(m),
          m.id,
          'core.prepare',
          { epoch, ballot },
          CoreMessages.prepareReply,
          CoreTimings.requestTimeoutMs,
        );
        return reply.ok ? reply.val : null;
      });
      for (const v of promises) highestBallot = Math.max(highestBallot, v.promised);
      const ahead = promises.find((v) => v.view && v.view.epoch >= epoch);
      if (ahead?.view) {
        await adopt(ahead.view);
        return null;
      }
      const granted = promises.filter((v) => v.ok);
      const hasAcceptedView = granted.some((v) => v.took);
      // A candidate has accepted a view that its voters complete alone, so this round's promises must not be counted.
      if (BootstrapRules.isSuperseded(promisers.length, voters.length, hasAcceptedView)) return null;
      if (granted.length < promisesNeeded(hasAcceptedView)) {
        const waitMs = Math.min(CoreTimings.viewLeaseMs, Math.max(...promises.map((v) => v.wait ?? 0), 0));
        await Timer.sleep(world.clock, waitMs + Random.int(world.random, 60));
        return null;
      }
      const view = VoterRules.chooseView(granted, next);
      if (epoch === 1 && serialize(view.voters) !== serialize(voters)) return null;
      const acceptances = await poll(voters, majority, async (m) => {
        if (Views.sameMember(m, me())) return { ...(await voter.accept(epoch, ballot, view)), view: null };
        const reply = await post.ask(
          addresses.addressOf(m),
          m.id,
          'core.accept',
          { epoch, ballot, view },
          CoreMessages.acceptReply,
          CoreTimings.requestTimeoutMs,
        );
        return reply.ok ? reply.val : null;
      });
      for (const v of acceptances) highestBallot = Math.max(highestBallot, v.promised);
      return acceptances.filter((v) => v.ok).length >= majority ? view : null;
    };

    return {
      /** Whether a proposal is in progress. */
      isBusy: (): boolean => proposing,
      /** Resolves once all members of the last agreed view were told of it or could not be reached. */
      announced: (): Promise<unknown> => announcements,
      /**
       * Makes several attempts; true once a view of that epoch is in force here. For the first view, `promisers` may
       * include more daemons than the voters.
       */
      async propose(
        voters: readonly Member[],
        next: View,
        reason: string,
        promisers: readonly Member[] = voters,
      ): Promise<boolean> {
        if (proposing) return false;
        proposing = true;
        try {
          for (let attempt = 0; attempt < 6; attempt++) {
            const view = await round(voters, next, promisers);
            if (view) {
              log.info(`View ${view.epoch} agreed with chain: ${view.chain.map((m) => m.id).join(' > ')}. ${reason}`);
              world.recordEvent({ what: 'view', epoch: view.epoch, chain: view.chain.map((m) => `${m.id}/${m.born}`) });
              const adopted = await adopt(view);
              announcements = Promise.all(
                Views.allMembers(view)
                  .filter((m) => !Views.sameMember(m, me()))
                  .map((m) =>
                    post.ask(
                      addresses.addressOf(m),
                      m.id,
                      'core.view',
                      { view },
                      CoreMessages.acknowledgement,
                      CoreTimings.requestTimeoutMs,
                    ),
                  ),
              );
              return adopted;
            }
          }
          return false;
        } finally {
          proposing = false;
        }
      },
    };
  },
};
/** A view changer as its callers see it. */
export type ViewChanger = ReturnType<typeof ViewChanger.make>;
