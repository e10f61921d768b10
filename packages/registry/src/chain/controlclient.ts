import { Dice, Err, Timer, Verdicts, type PostBox, type Result, type WireFault, type World } from '@pumicebarrow/forms';
import type { Static } from 'typebox';
import type { Command } from './command.js';
import { CoreMessages } from '../service/coremessages.js';
import { BurstMessages } from '../lending/burstwords.js';
import { CoreTimings } from '../coretimings.js';
import type { CommandResult } from './ruling.js';
import type { View } from '../consensus/view.js';
import { Views } from '../consensus/views.js';

type ReadReply = Static<typeof CoreMessages.readReply>;
type CheckInReply = Static<typeof CoreMessages.checkInReply>;
/** How many a look asks, and how many of them are of the view known: one of three that is silent is not enough. */
const VIEW_QUERY_TARGETS = 5;
const KNOWN_MEMBER_TARGETS = 2;

/**
 * A daemon's line to the core. Invariant: the view known here only rises in epoch;
 * 'no' is said of a command only if no try of it can have been written.
 */
export const ControlClient = {
  /** `own` is the view that a core daemon itself holds; that one's desk is Core's. */
  make(world: World, post: PostBox, seeds: () => readonly string[], ownView?: () => View | null) {
    let view: View | null = null;
    const epoch = (): number => view?.epoch ?? 0;
    const learn = (newView: View | null): void => {
      if (newView && newView.epoch > epoch()) view = newView;
    };
    /**
     * Asks for the view, among members of the one known before others. Over with the first word of a newer one, or soon
     * if one is known; later words are learnt all the same. So nobody that is silent holds up what another may tell.
     */
    const look = (): Promise<void> => {
      const epochBefore = epoch();
      const known = view ? Views.all(view).map((m) => m.addr) : [];
      const knownTargets = Dice.some(world.chance, known, KNOWN_MEMBER_TARGETS);
      const otherAddresses = [...new Set(seeds())].filter((a) => !known.includes(a));
      const targets = [
        ...knownTargets,
        ...Dice.some(world.chance, otherAddresses, VIEW_QUERY_TARGETS - knownTargets.length),
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
     * Asks at the head or the tail until it replies as such, or until time is up; in a newer view at once. With no time
     * at all it asks once in each view.
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
        await Timer.nap(world.clock, 100 + Dice.int(world.chance, 60));
      }
    };
    /** Waits for a reply, but not beyond a newer view than was known when it was asked for. */
    const unlessViewChanged = <T>(request: Promise<Result<T, WireFault>>): Promise<Result<T, WireFault>> => {
      const epochBefore = epoch();
      return new Promise((resolve) => {
        let pending = true;
        let cancelCheck: () => void = () => undefined;
        const settle = (result: Result<T, WireFault>): void => {
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
      learn: learn,
      look: look,
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
          ? Verdicts.maybe('unsure', 'The core did not say; ask for the plan to learn its fate.')
          : Verdicts.not('unready', 'The core can take no writes now.', 1);
        return { ruling: { verdict }, term: 0, sent };
      },
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
      /** Bursts in counts; with a key that one alone, and whole; its outcomes' texts only if they are asked for. */
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
      checkin: (body: Static<typeof CoreMessages.checkIn>): Promise<CheckInReply | null> =>
        requestFrom('head', 0, async (addr, id) => {
          const reply = await unlessViewChanged(
            post.ask(addr, id, 'core.checkin', body, CoreMessages.checkInReply, CoreTimings.requestTimeoutMs),
          );
          return reply.ok
            ? { answer: reply.val.ok ? reply.val : null, view: reply.val.view }
            : { answer: null, view: null };
        }),
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
/** A control client as its users see it. */
export type ControlClient = ReturnType<typeof ControlClient.make>;
