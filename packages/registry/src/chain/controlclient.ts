import {
  Random,
  Err,
  Timer,
  Verdicts,
  type Messenger,
  type Result,
  type RequestError,
  type World,
} from '@pumicebarrow/forms';
import type { Static } from 'typebox';
import type { Command } from './command.js';
import { CoreMessages } from '../service/coremessages.js';
import { BurstMessages } from '../lending/burstmessages.js';
import { CoreTimings } from '../coretimings.js';
import type { CommandResult } from './commandresult.js';
import type { View } from '../consensus/view.js';
import { Views } from '../consensus/views.js';

type ReadReply = Static<typeof CoreMessages.readReply>;
type CheckInReply = Static<typeof CoreMessages.checkInReply>;
/**
 * Daemons asked in one view query, and how many of them are members of the known view. A single known member would not
 * be enough, because it may be one that does not answer.
 */
const VIEW_QUERY_TARGETS = 5;
const KNOWN_MEMBER_TARGETS = 2;

/**
 * A daemon's client for the control replicas. Invariants: the epoch of the known view only rises; a command is reported
 * as 'no' only if none of its attempts can have been written.
 */
export const ControlClient = {
  /** `ownView` is the view that a control replica holds itself; such a replica answers `core.hint` in Core. */
  make(world: World, post: Messenger, seeds: () => readonly string[], ownView?: () => View | null) {
    let view: View | null = null;
    const epoch = (): number => view?.epoch ?? 0;
    const learn = (newView: View | null): void => {
      if (newView && newView.epoch > epoch()) view = newView;
    };
    /**
     * Asks several daemons for the current view, members of the known view first. Ends with the first reply that has a
     * newer view, or after a short wait if a view is known. Replies that arrive later still update the view, so an
     * unresponsive daemon never delays what another one reports.
     */
    const look = (): Promise<void> => {
      const epochBefore = epoch();
      const known = view ? Views.allMembers(view).map((m) => m.addr) : [];
      const knownTargets = Random.sample(world.random, known, KNOWN_MEMBER_TARGETS);
      const otherAddresses = [...new Set(seeds())].filter((a) => !known.includes(a));
      const targets = [
        ...knownTargets,
        ...Random.sample(world.random, otherAddresses, VIEW_QUERY_TARGETS - knownTargets.length),
      ];
      return new Promise((resolve) => {
        const queries = targets.map(async (addr) => {
          const reply = await post.ask(addr, '', 'core.hint', {}, CoreMessages.viewReply, CoreTimings.requestTimeoutMs);
          if (reply.ok) learn(reply.val.view);
          if (epoch() > epochBefore) resolve();
        });
        const cancelTimeout = view ? world.clock.after(CoreTimings.viewQueryTimeoutMs, resolve) : () => undefined;
        void Promise.all(queries).then(() => {
          cancelTimeout();
          resolve();
        });
      });
    };
    /**
     * Sends a request to the head or the tail until that member answers as such or the time is up; retries at once in a
     * newer view. With a time of 0 it makes one attempt in each view.
     */
    const requestFrom = async <T>(
      role: 'head' | 'tail',
      timeoutMs: number,
      attempt: (addr: string, id: string) => Promise<{ answer: T | null; view: View | null }>,
    ): Promise<T | null> => {
      const deadline = world.clock.mono() + timeoutMs;
      for (;;) {
        learn(ownView?.() ?? null);
        if (!view) await look();
        if (view) {
          const member = role === 'head' ? Views.head(view) : Views.tail(view);
          const epochBefore = epoch();
          const outcome = await attempt(member.addr, member.id);
          learn(outcome.view);
          if (outcome.answer !== null) return outcome.answer;
          if (epoch() === epochBefore) await look();
          if (epoch() > epochBefore && (timeoutMs === 0 || world.clock.mono() < deadline)) continue;
        }
        if (world.clock.mono() >= deadline) return null;
        await Timer.sleep(world.clock, 100 + Random.int(world.random, 60));
      }
    };
    /** Waits for a reply, but stops once a view is known that is newer than the one the request was sent in. */
    const unlessViewChanged = <T>(request: Promise<Result<T, RequestError>>): Promise<Result<T, RequestError>> => {
      const epochBefore = epoch();
      return new Promise((resolve) => {
        let pending = true;
        let cancelCheck: () => void = () => undefined;
        const settle = (result: Result<T, RequestError>): void => {
          pending = false;
          cancelCheck();
          resolve(result);
        };
        const checkView = async (): Promise<void> => {
          await look();
          if (epoch() > epochBefore) settle(Err('lost'));
          else if (pending) scheduleCheck();
        };
        const scheduleCheck = (): void => {
          cancelCheck = world.clock.after(CoreTimings.viewQueryTimeoutMs, () => void checkView());
        };
        scheduleCheck();
        void request.then(settle);
      });
    };
    if (!ownView) post.on('core.hint', CoreMessages.empty, () => ({ view }));
    return {
      view: (): View | null => view,
      learn,
      look,
      /** Sends a command to the head. `sent` is the time of the last attempt, from which a lease's `term` counts. */
      async write(command: Command, timeoutMs = 4000): Promise<{ ruling: CommandResult; term: number; sent: number }> {
        let maybeWritten = false;
        let sent = world.clock.mono();
        const accepted = await requestFrom('head', timeoutMs, async (addr, id) => {
          sent = world.clock.mono();
          const reply = await unlessViewChanged(
            post.ask(addr, id, 'core.write', { command }, CoreMessages.writeReply, 5000),
          );
          if (reply.err) {
            if (reply.val === 'lost') maybeWritten = true;
            return { answer: null, view: null };
          }
          const ruling = reply.val.ruling;
          const retry =
            ruling === null ||
            ruling.verdict.code === 'unready' ||
            (ruling.verdict.ran === 'maybe' && ruling.verdict.code !== 'forgotten' && command.do !== 'claim');
          if (ruling?.verdict.ran === 'maybe') maybeWritten = true;
          return { answer: retry ? null : { ruling, term: reply.val.term }, view: reply.val.view };
        });
        if (accepted) return { ...accepted, ruling: accepted.ruling, sent };
        const verdict = maybeWritten
          ? Verdicts.maybeRun('unsure', 'The core did not say; ask for the plan to learn its fate.')
          : Verdicts.notRun('unready', 'The core can take no writes now.', 1);
        return { ruling: { verdict }, term: 0, sent };
      },
      /** Reads the configuration in force from the tail, and one plan if its id is given. */
      read: (plan: string | undefined, timeoutMs: number): Promise<ReadReply | null> =>
        requestFrom('tail', timeoutMs, async (addr, id) => {
          const reply = await post.ask(
            addr,
            id,
            'core.read',
            plan === undefined ? {} : { plan },
            CoreMessages.readReply,
            CoreTimings.requestTimeoutMs,
          );
          return reply.ok
            ? { answer: reply.val.ok ? reply.val : null, view: reply.val.view }
            : { answer: null, view: null };
        }),
      /**
       * Reads bursts as summaries. With a key, also that burst whole; its generations' texts only if `texts` is set.
       */
      bursts: (
        query: Static<typeof BurstMessages.readRequest>,
        timeoutMs: number,
      ): Promise<Static<typeof BurstMessages.readReply> | null> =>
        requestFrom('tail', timeoutMs, async (addr, id) => {
          const reply = await post.ask(
            addr,
            id,
            'core.burst',
            query,
            BurstMessages.readReply,
            CoreTimings.requestTimeoutMs,
          );
          return reply.ok
            ? { answer: reply.val.ok ? reply.val : null, view: reply.val.view }
            : { answer: null, view: null };
        }),
      /** Reports this daemon as live to the head; the reply has the version in force, the roster and the total load. */
      checkin: (body: Static<typeof CoreMessages.checkIn>): Promise<CheckInReply | null> =>
        requestFrom('head', 0, async (addr, id) => {
          const reply = await unlessViewChanged(
            post.ask(addr, id, 'core.checkin', body, CoreMessages.checkInReply, CoreTimings.requestTimeoutMs),
          );
          return reply.ok
            ? { answer: reply.val.ok ? reply.val : null, view: reply.val.view }
            : { answer: null, view: null };
        }),
      /** Reads from the head which daemons have checked in, and when. */
      readRoster: (): Promise<Static<typeof CoreMessages.rosterReply> | null> =>
        requestFrom('head', 1500, async (addr, id) => {
          const reply = await post.ask(
            addr,
            id,
            'core.roll',
            {},
            CoreMessages.rosterReply,
            CoreTimings.requestTimeoutMs,
          );
          return reply.ok
            ? { answer: reply.val.roster.length > 0 ? reply.val : null, view: reply.val.view }
            : { answer: null, view: null };
        }),
      /** Tells the head that this daemon stops and gives up the named leases. */
      async leave(names: readonly string[]): Promise<void> {
        if (view)
          await post.ask(
            Views.head(view).addr,
            Views.head(view).id,
            'core.leave',
            { names },
            CoreMessages.acknowledgement,
            CoreTimings.requestTimeoutMs,
          );
      },
    };
  },
};
/** A control client as its callers see it. */
export type ControlClient = ReturnType<typeof ControlClient.make>;
