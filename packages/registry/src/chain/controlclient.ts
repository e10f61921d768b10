import { Dice, Err, Timer, Verdicts, type PostBox, type Result, type WireFault, type World } from '@pumicebarrow/forms';
import type { Static } from 'typebox';
import type { Command } from './command.js';
import { CoreMessages } from '../service/coremessages.js';
import { BurstMessages } from '../lending/burstwords.js';
import { CoreTimings } from '../coretimings.js';
import type { CommandResult } from './ruling.js';
import type { View } from '../consensus/view.js';
import { Views } from '../consensus/views.js';

type Readout = Static<typeof CoreMessages.readout>;
type Checked = Static<typeof CoreMessages.checked>;
/** How many a look asks, and how many of them are of the view known: one of three that is silent is not enough. */
const LOOK = 5;
const NEAR = 2;

/**
 * A daemon's line to the core. Invariant: the view known here only rises in epoch;
 * 'no' is said of a command only if no try of it can have been written.
 */
export const ControlClient = {
  /** `own` is the view that a core daemon itself holds; that one's desk is Core's. */
  make(world: World, post: PostBox, seeds: () => readonly string[], own?: () => View | null) {
    let view: View | null = null;
    const epoch = (): number => view?.epoch ?? 0;
    const learn = (v: View | null): void => {
      if (v && v.epoch > epoch()) view = v;
    };
    /**
     * Asks for the view, among members of the one known before others. Over with the first word of a newer one, or soon
     * if one is known; later words are learnt all the same. So nobody that is silent holds up what another may tell.
     */
    const look = (): Promise<void> => {
      const was = epoch();
      const known = view ? Views.all(view).map((m) => m.addr) : [];
      const near = Dice.some(world.chance, known, NEAR);
      const rest = [...new Set(seeds())].filter((a) => !known.includes(a));
      const all = [...near, ...Dice.some(world.chance, rest, LOOK - near.length)];
      return new Promise((done) => {
        const asked = all.map(async (a) => {
          const r = await post.ask(a, '', 'core.hint', {}, CoreMessages.hint, CoreTimings.requestTimeoutMs);
          if (r.ok) learn(r.val.view);
          if (epoch() > was) done();
        });
        const stop = view ? world.clock.after(CoreTimings.viewQueryTimeoutMs, done) : () => undefined;
        void Promise.all(asked).then(() => {
          stop();
          done();
        });
      });
    };
    /**
     * Asks at the head or the tail until it replies as such, or until time is up; in a newer view at once. With no time
     * at all it asks once in each view.
     */
    const reach = async <T>(
      where: 'head' | 'tail',
      ms: number,
      one: (addr: string, id: string) => Promise<{ got: T | null; view: View | null }>,
    ): Promise<T | null> => {
      const end = world.clock.mono() + ms;
      for (;;) {
        learn(own?.() ?? null);
        if (!view) await look();
        if (view) {
          const m = where === 'head' ? Views.head(view) : Views.tail(view);
          const was = epoch();
          const r = await one(m.addr, m.id);
          learn(r.view);
          if (r.got !== null) return r.got;
          if (epoch() === was) await look();
          if (epoch() > was && (ms === 0 || world.clock.mono() < end)) continue;
        }
        if (world.clock.mono() >= end) return null;
        await Timer.nap(world.clock, 100 + Dice.int(world.chance, 60));
      }
    };
    /** Waits for a reply, but not beyond a newer view than was known when it was asked for. */
    const unlessMoved = <T>(job: Promise<Result<T, WireFault>>): Promise<Result<T, WireFault>> => {
      const was = epoch();
      return new Promise((done) => {
        let open = true;
        let stop: () => void = () => undefined;
        const settle = (r: Result<T, WireFault>): void => {
          open = false;
          stop();
          done(r);
        };
        const peek = async (): Promise<void> => {
          await look();
          if (epoch() > was) settle(Err('lost'));
          else if (open) wait();
        };
        const wait = (): void => {
          stop = world.clock.after(CoreTimings.viewQueryTimeoutMs, () => void peek());
        };
        wait();
        void job.then(settle);
      });
    };
    if (!own) post.on('core.hint', CoreMessages.look, () => ({ view }));
    return {
      view: (): View | null => view,
      learn: learn,
      look: look,
      async write(command: Command, ms = 4000): Promise<{ ruling: CommandResult; term: number; sent: number }> {
        let unsure = false;
        let sent = world.clock.mono();
        const got = await reach('head', ms, async (addr, id) => {
          sent = world.clock.mono();
          const r = await unlessMoved(post.ask(addr, id, 'core.write', { command }, CoreMessages.written, 5000));
          if (r.err) {
            if (r.val === 'lost') unsure = true;
            return { got: null, view: null };
          }
          const ruling = r.val.ruling;
          const again =
            ruling === null ||
            ruling.verdict.code === 'unready' ||
            (ruling.verdict.ran === 'maybe' && ruling.verdict.code !== 'forgotten' && command.do !== 'claim');
          if (ruling?.verdict.ran === 'maybe') unsure = true;
          return { got: again ? null : { ruling, term: r.val.term }, view: r.val.view };
        });
        if (got) return { ...got, ruling: got.ruling, sent };
        const verdict = unsure
          ? Verdicts.maybe('unsure', 'The core did not say; ask for the plan to learn its fate.')
          : Verdicts.not('unready', 'The core can take no writes now.', 1);
        return { ruling: { verdict }, term: 0, sent };
      },
      read: (plan: string | undefined, ms: number): Promise<Readout | null> =>
        reach('tail', ms, async (addr, id) => {
          const r = await post.ask(
            addr,
            id,
            'core.read',
            plan === undefined ? {} : { plan },
            CoreMessages.readout,
            CoreTimings.requestTimeoutMs,
          );
          return r.ok ? { got: r.val.ok ? r.val : null, view: r.val.view } : { got: null, view: null };
        }),
      /** Bursts in counts; with a key that one alone, and whole; its outcomes' texts only if they are asked for. */
      bursts: (
        ask: Static<typeof BurstMessages.readRequest>,
        ms: number,
      ): Promise<Static<typeof BurstMessages.readReply> | null> =>
        reach('tail', ms, async (addr, id) => {
          const r = await post.ask(addr, id, 'core.burst', ask, BurstMessages.readReply, CoreTimings.requestTimeoutMs);
          return r.ok ? { got: r.val.ok ? r.val : null, view: r.val.view } : { got: null, view: null };
        }),
      checkin: (body: Static<typeof CoreMessages.checkin>): Promise<Checked | null> =>
        reach('head', 0, async (addr, id) => {
          const r = await unlessMoved(
            post.ask(addr, id, 'core.checkin', body, CoreMessages.checked, CoreTimings.requestTimeoutMs),
          );
          return r.ok ? { got: r.val.ok ? r.val : null, view: r.val.view } : { got: null, view: null };
        }),
      readRoster: (): Promise<Static<typeof CoreMessages.roll> | null> =>
        reach('head', 1500, async (addr, id) => {
          const r = await post.ask(addr, id, 'core.roll', {}, CoreMessages.roll, CoreTimings.requestTimeoutMs);
          return r.ok ? { got: r.val.roster.length > 0 ? r.val : null, view: r.val.view } : { got: null, view: null };
        }),
      async leave(names: readonly string[]): Promise<void> {
        if (view)
          await post.ask(
            Views.head(view).addr,
            Views.head(view).id,
            'core.leave',
            { names },
            CoreMessages.done,
            CoreTimings.requestTimeoutMs,
          );
      },
    };
  },
};
/** A control client as its users see it. */
export type ControlClient = ReturnType<typeof ControlClient.make>;
