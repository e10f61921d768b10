import { Timer, Verdicts, type Ident, type PostBox, type World } from '@pumicebarrow/forms';
import { Batch } from './batch.js';
import { ChainRules } from './chainrules.js';
import type { Command } from './command.js';
import type { CoreState } from '../state/corestate.js';
import { StateChanges } from '../state/statechanges.js';
import { StateDigest } from '../state/statedigest.js';
import { StateTransfer } from './statehandover.js';
import { CoreMessages } from '../service/coremessages.js';
import type { Member } from '../membership/member.js';
import type { CommandResult } from './ruling.js';
import type { Store } from '../state/store.js';
import type { View } from '../consensus/view.js';
import { Views } from '../consensus/views.js';

type Wait = { command: Command; done: (r: CommandResult) => void };
type Hooks = {
  view: () => View | null;
  live: () => boolean;
  me: () => Member;
  ill: (why: string) => void;
  passed: (s: CoreState) => void;
};

/**
 * The chain: entered at the head, each version synced before it is passed on, answered at the tail.
 * Invariants: what a member holds, every member before it in the chain held first; `passed` is known to be held by all
 * of the view in force, and is nothing until the head has handed its version down in that view;
 * a command is refused with 'no' only if no version that carries its effect was ever begun.
 */
export const Chain = {
  make(world: World, post: PostBox, store: Store, kept: CoreState, hooks: Hooks) {
    let state = kept;
    let passed: CoreState | null = null;
    let fresh = 0;
    let ready = 0;
    let busy = false;
    let held: Wait[] = [];
    let lock: Promise<unknown> = Promise.resolve();
    let turn: () => void = () => undefined;
    let turned = new Promise<null>((done) => {
      turn = () => done(null);
    });
    const changes = StateChanges.make();
    const handover = StateTransfer.make(post, changes);
    const log = world.log('chain');
    const alone = <T>(fn: () => Promise<T>): Promise<T> => {
      const next = lock.then(fn, fn);
      lock = next;
      return next;
    };
    const save = async (next: CoreState): Promise<boolean> => {
      const same = next === state || (next.seq === state.seq && StateDigest.of(next) === StateDigest.of(state));
      if (!same) {
        const done = await store.put('state', next);
        if (done.err) {
          hooks.ill(done.val);
          return false;
        }
      }
      state = next;
      return true;
    };
    const pass = (s: CoreState): void => {
      passed = s;
      hooks.passed(s);
    };
    /** Hands the version down; true when the tail holds it. */
    const down = async (view: View, s: CoreState): Promise<boolean> => {
      const place = Views.place(view, hooks.me()),
        next = view.chain[place + 1];
      if (place < 0) return false;
      if (next) {
        const given = await Promise.race([turned, handover.send(next, view.epoch, s)]);
        if (!given) return false;
      }
      if (hooks.view()?.epoch !== view.epoch) return false;
      // With too few copies it could still be lost, so it is neither shown nor confirmed.
      if (ChainRules.enough(view)) pass(s);
      return true;
    };
    const isHead = (v: View | null): v is View => !!v && Views.same(Views.head(v), hooks.me());
    const able = (): string | null => {
      const v = hooks.view();
      if (!isHead(v)) return 'This daemon is not the head.';
      if (!hooks.live()) return 'The core has no live lease on its view.';
      if (ready !== v.epoch) return 'The chain is being mended.';
      if (!ChainRules.enough(v)) return 'The chain has too few copies.';
      return null;
    };
    const begun = (next: CoreState): void =>
      world.tell({
        what: 'write',
        seq: next.seq,
        version: next.charter?.version ?? 0,
        plan: next.charter?.plan ?? '',
      });
    /** One batch becomes one version, and goes down the chain. */
    const one = async (batch: readonly Wait[]): Promise<void> => {
      const why = able(),
        view = hooks.view();
      if (why !== null || !view) {
        Batch.refuse(batch, why ?? 'No view.');
        return;
      }
      const { next, out } = Batch.apply(state, batch);
      if (next !== state) begun(next);
      const good = (await save(next)) && (await down(view, next)) && hooks.live();
      Batch.reply(out, good);
      if (good) return;
      ready = 0;
      void mend();
    };
    const work = async (): Promise<void> => {
      if (busy) return;
      busy = true;
      while (held.length > 0) {
        const batch = held;
        held = [];
        await alone(() => one(batch));
      }
      busy = false;
    };
    /** After a new view, or a break: the head sends all it holds down the chain until the tail has it. */
    const mend = async (): Promise<void> => {
      const view = hooks.view();
      while (view && hooks.view()?.epoch === view.epoch && isHead(view) && ready !== view.epoch) {
        await alone(async () => {
          if (hooks.view()?.epoch !== view.epoch) return;
          if (await down(view, state)) {
            ready = view.epoch;
            fresh = view.epoch;
          }
        });
        if (ready !== view.epoch) await Timer.nap(world.clock, 200);
      }
    };

    /** Takes in the version that the member above hands down, and hands it on; false unless the tail has it. */
    const take = async (epoch: number, from: Ident, next: CoreState): Promise<boolean> => {
      const view = hooks.view();
      const held = { fresh, seq: state.seq };
      if (!view || !ChainRules.takes(view, hooks.me(), from, epoch, held, next.seq)) return false;
      if (!(await save(next))) return false;
      fresh = view.epoch;
      return down(view, next);
    };
    post.on('core.push', CoreMessages.push, (body, from) =>
      alone(async () => ({ ok: await take(body.epoch, from, body.state) })),
    );
    post.on('core.change', CoreMessages.change, (body, from) =>
      alone(async () => {
        const next = changes.apply(state, body.change);
        return next ? { ok: await take(body.epoch, from, next), lacking: false } : { ok: false, lacking: true };
      }),
    );

    return {
      state: (): CoreState => state,
      passed: (): CoreState | null => passed,
      isReady: (): boolean => able() === null,
      fresh: (): boolean => fresh === hooks.view()?.epoch,
      backlog: (): number => held.length,
      write: (command: Command): Promise<CommandResult> =>
        new Promise((done) => {
          const why = able();
          if (why !== null) {
            done({ verdict: Verdicts.not('unready', why, 1) });
            return;
          }
          if (held.length >= 256) {
            done({ verdict: Verdicts.not('full', 'Too many commands wait.', 1) });
            return;
          }
          held = [...held, { command, done }];
          void work();
        }),
      onViewChange(): void {
        passed = null;
        turn();
        turned = new Promise<null>((done) => {
          turn = () => done(null);
        });
        const { seq, charter } = state;
        log.say(`Chain of view ${hooks.view()?.epoch ?? 0}; holding ${seq}, configuration ${charter?.version ?? 0}.`);
        void mend();
      },
      /** A member below has lost its place, or holds nothing of this view yet. */
      resync(): void {
        if (ready !== 0) {
          ready = 0;
          void mend();
        }
      },
    };
  },
};
/** A chain as its users see it. */
export type Chain = ReturnType<typeof Chain.make>;
