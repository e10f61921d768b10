import {
  ExpiringMap,
  Hash,
  RendezvousHash,
  Timer,
  Verdicts,
  type Ident,
  type Messenger,
  type Verdict,
  type World,
} from '@pumicebarrow/forms';
import type { Static } from 'typebox';
import { LedgerMessages } from './ledgermessages.js';
import type { ClientRequest } from './clientrequest.js';

type OpenReply = Static<typeof LedgerMessages.openReply>['say'] | 'lost' | 'unsent';
type Transition = 'sent' | 'closed' | 'ran';
const REQUEST_TIMEOUT_MS = 350;
const SUSPICION_MS = 3000;
const MAX_SUSPECTED_OWNERS = 1024;

/**
 * The request's side of the ledger. Invariants: nothing is sent to a server before both owners chosen at the opening
 * have acknowledged the 'sent' mark; a later attempt is opened only if an owner confirms that the one before did not
 * run; if an owner may have recorded an opening without replying, the attempt is given up, so that an 'open' entry is
 * always one whose 'sent' mark the sender needs acknowledged.
 */
export const LedgerClient = {
  make(world: World, post: Messenger, roster: () => readonly Ident[], knownDaemons: () => readonly Ident[] = roster) {
    const { clock } = world;
    /** Daemons (id/incarnation) that recently did not reply; not chosen as owners for a while. */
    const suspected = ExpiringMap.make<true>(clock.mono, MAX_SUSPECTED_OWNERS);
    const rankByKey = (key: string): Ident[] =>
      RendezvousHash.rank(
        `key:${key}`,
        roster().filter((r) => r.role === 'counter' && !suspected.get(`${r.id}/${r.born}`)),
        (r) => r.id,
      );
    /**
     * Candidates for owning a request, the preferred ones first: the two incarnations that the request names, or else
     * the live daemons in the order of rendezvous hashing.
     */
    const rankOwners = (request: ClientRequest): Ident[] =>
      request.owners
        ? knownDaemons().filter((r) => request.owners!.includes(`${r.id}/${r.born}`))
        : rankByKey(request.key);
    const askOpen = async (
      owner: Ident,
      request: ClientRequest,
      digest: string,
      proven: boolean,
    ): Promise<OpenReply> => {
      const r = await post.ask(
        owner.addr,
        owner.id,
        'ledger.open',
        { key: request.key, attempt: request.attempt, digest, proven, life: owner.born },
        LedgerMessages.openReply,
        REQUEST_TIMEOUT_MS,
      );
      if (r.ok) return r.val.say;
      suspected.set(`${owner.id}/${owner.born}`, true, SUSPICION_MS);
      return r.val === 'lost' ? 'lost' : 'unsent';
    };
    const askStep = async (owner: Ident, request: ClientRequest, digest: string, to: Transition): Promise<boolean> => {
      const r = await post.ask(
        owner.addr,
        owner.id,
        'ledger.step',
        { key: request.key, attempt: request.attempt, digest, to },
        LedgerMessages.stepReply,
        REQUEST_TIMEOUT_MS,
      );
      return r.ok && r.val.ok;
    };
    const stepAll = async (
      owners: readonly Ident[],
      request: ClientRequest,
      digest: string,
      to: Transition,
    ): Promise<boolean> =>
      (await Promise.all(owners.map((owner) => askStep(owner, request, digest, to)))).every((x) => x);
    const digestOf = (request: ClientRequest): string =>
      Hash.ofText(`${request.rule ?? ''}\n${request.prefix.length}\n${request.prefix}${request.part}`);

    const rejectionFor = (replies: readonly OpenReply[]): Verdict | null => {
      const has = (reply: OpenReply): boolean => replies.includes(reply);
      if (has('other')) return Verdicts.notRun('otherbody', 'This key was used with another body.');
      if (has('ran')) return Verdicts.ran('ran', 'An earlier try of this request ran.');
      if (has('sent')) return Verdicts.maybeRun('mayhaverun', 'An earlier try of this request may have run.');
      if (has('twin')) return Verdicts.maybeRun('twin', 'This attempt, or a later one, is known already.');
      if (has('closed')) return Verdicts.notRun('closed', 'This attempt is closed; use the next number.', 0);
      if (has('lost')) return Verdicts.notRun('noledger', 'A daemon that records requests did not reply.', 1);
      return null;
    };
    return {
      /** Opens the attempt at two owners, or gives the verdict with which the request is rejected. */
      async open(request: ClientRequest): Promise<{ rejection: Verdict | null; owners: Ident[]; digest: string }> {
        const digest = digestOf(request),
          candidates = rankOwners(request);
        const askedOwners = candidates.slice(0, request.attempt > 1 ? 3 : 2);
        const replies = await Promise.all(askedOwners.map((owner) => askOpen(owner, request, digest, false)));
        const openedOwners = (): Ident[] => askedOwners.filter((_, i) => replies[i] === 'ok');
        const reject = async (rejection: Verdict) => {
          await stepAll(openedOwners(), request, digest, 'closed');
          return { rejection, owners: [], digest };
        };
        const earlyRejection = rejectionFor(replies);
        if (earlyRejection) return reject(earlyRejection);
        if (request.attempt > 1) {
          if (!replies.includes('ok'))
            return reject(Verdicts.maybeRun('unproven', 'Nothing here proves that the earlier try did not run.'));
          for (const [i, owner] of askedOwners.entries())
            if (replies[i] === 'unknown') replies[i] = await askOpen(owner, request, digest, true);
        }
        for (const owner of candidates.slice(askedOwners.length)) {
          if (openedOwners().length >= 2 || rejectionFor(replies)) break;
          askedOwners.push(owner);
          replies.push(await askOpen(owner, request, digest, request.attempt > 1));
        }
        const lateRejection = rejectionFor(replies);
        if (lateRejection) return reject(lateRejection);
        if (openedOwners().length < 2)
          return reject(Verdicts.notRun('noledger', 'Too few daemons can be reached to record the request.', 1));
        return { rejection: null, owners: openedOwners(), digest };
      },
      markSent: (request: ClientRequest, owners: readonly Ident[], digest: string): Promise<boolean> =>
        stepAll(owners, request, digest, 'sent'),
      markRan: (request: ClientRequest, owners: readonly Ident[], digest: string): Promise<boolean> =>
        stepAll(owners, request, digest, 'ran'),
      close: (request: ClientRequest, owners: readonly Ident[], digest: string): Promise<boolean> =>
        stepAll(owners, request, digest, 'closed'),
      /** Closes a request refused at admission, as proof for its next attempt. Delays the outcome by 150 ms at most. */
      async closeRefused(request: ClientRequest): Promise<void> {
        await Timer.withTimeout(
          clock,
          150,
          stepAll(rankOwners(request).slice(0, 2), request, digestOf(request), 'closed'),
          () => false,
        );
      },
    };
  },
};
