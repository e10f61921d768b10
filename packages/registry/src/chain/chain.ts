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

type PendingCommand = { command: Command; reply: (r: CommandResult) => void };
type Hooks = {
  view: () => View | null;
  holdsLease: () => boolean;
  me: () => Member;
  onDiskFault: (why: string) => void;
  onCommitted: (s: CoreState) => void;
};

/**
 * The chain: entered at the head, each version synced before it is passed on, answered at the tail.
 * Invariants: what a member holds, every member before it in the chain held first; `passed` is known to be held by all
 * of the view in force, and is nothing until the head has handed its version down in that view;
 * a command is refused with 'no' only if no version that carries its effect was ever begun.
 */
export const Chain = {
  make(world: World, post: PostBox, store: Store, restored: CoreState, hooks: Hooks) {
    let state = restored;
    let committed: CoreState | null = null;
    let syncedEpoch = 0;
    let readyEpoch = 0;
    let draining = false;
    let queue: PendingCommand[] = [];
    let lastOperation: Promise<unknown> = Promise.resolve();
    let signalViewChange: () => void = () => undefined;
    let viewChanged = new Promise<null>((done) => {
      signalViewChange = () => done(null);
    });
    const changes = StateChanges.make();
    const handover = StateTransfer.make(post, changes);
    const log = world.log('chain');
    const exclusively = <T>(operation: () => Promise<T>): Promise<T> => {
      const next = lastOperation.then(operation, operation);
      lastOperation = next;
      return next;
    };
    const persist = async (next: CoreState): Promise<boolean> => {
      const unchanged = next === state || (next.seq === state.seq && StateDigest.of(next) === StateDigest.of(state));
      if (!unchanged) {
        const written = await store.put('state', next);
        if (written.err) {
          hooks.onDiskFault(written.val);
          return false;
        }
      }
      state = next;
      return true;
    };
    const commit = (newState: CoreState): void => {
      committed = newState;
      hooks.onCommitted(newState);
    };
    /** Hands the version down; true when the tail holds it. */
    const forward = async (view: View, newState: CoreState): Promise<boolean> => {
      const position = Views.place(view, hooks.me()),
        next = view.chain[position + 1];
      if (position < 0) return false;
      if (next) {
        const delivered = await Promise.race([viewChanged, handover.send(next, view.epoch, newState)]);
        if (!delivered) return false;
      }
      if (hooks.view()?.epoch !== view.epoch) return false;
      // With too few copies it could still be lost, so it is neither shown nor confirmed.
      if (ChainRules.enough(view)) commit(newState);
      return true;
    };
    const isHead = (view: View | null): view is View => !!view && Views.same(Views.head(view), hooks.me());
    const whyNotReady = (): string | null => {
      const view = hooks.view();
      if (!isHead(view)) return 'This daemon is not the head.';
      if (!hooks.holdsLease()) return 'The core has no live lease on its view.';
      if (readyEpoch !== view.epoch) return 'The chain is being mended.';
      if (!ChainRules.enough(view)) return 'The chain has too few copies.';
      return null;
    };
    const recordWriteStart = (next: CoreState): void =>
      world.tell({
        what: 'write',
        seq: next.seq,
        version: next.charter?.version ?? 0,
        plan: next.charter?.plan ?? '',
      });
    /** One batch becomes one version, and goes down the chain. */
    const processBatch = async (batch: readonly PendingCommand[]): Promise<void> => {
      const reason = whyNotReady(),
        view = hooks.view();
      if (reason !== null || !view) {
        Batch.refuse(batch, reason ?? 'No view.');
        return;
      }
      const { next, ruled: ruled } = Batch.apply(state, batch);
      if (next !== state) recordWriteStart(next);
      const succeeded = (await persist(next)) && (await forward(view, next)) && hooks.holdsLease();
      Batch.reply(ruled, succeeded);
      if (succeeded) return;
      readyEpoch = 0;
      void resyncChain();
    };
    const drainQueue = async (): Promise<void> => {
      if (draining) return;
      draining = true;
      while (queue.length > 0) {
        const batch = queue;
        queue = [];
        await exclusively(() => processBatch(batch));
      }
      draining = false;
    };
    /** After a new view, or a break: the head sends all it holds down the chain until the tail has it. */
    const resyncChain = async (): Promise<void> => {
      const view = hooks.view();
      while (view && hooks.view()?.epoch === view.epoch && isHead(view) && readyEpoch !== view.epoch) {
        await exclusively(async () => {
          if (hooks.view()?.epoch !== view.epoch) return;
          if (await forward(view, state)) {
            readyEpoch = view.epoch;
            syncedEpoch = view.epoch;
          }
        });
        if (readyEpoch !== view.epoch) await Timer.nap(world.clock, 200);
      }
    };

    /** Takes in the version that the member above hands down, and hands it on; false unless the tail has it. */
    const receive = async (epoch: number, from: Ident, next: CoreState): Promise<boolean> => {
      const view = hooks.view();
      const held = { fresh: syncedEpoch, seq: state.seq };
      if (!view || !ChainRules.takes(view, hooks.me(), from, epoch, held, next.seq)) return false;
      if (!(await persist(next))) return false;
      syncedEpoch = view.epoch;
      return forward(view, next);
    };
    post.on('core.push', CoreMessages.push, (body, from) =>
      exclusively(async () => ({ ok: await receive(body.epoch, from, body.state) })),
    );
    post.on('core.change', CoreMessages.change, (body, from) =>
      exclusively(async () => {
        const next = changes.apply(state, body.change);
        return next ? { ok: await receive(body.epoch, from, next), lacking: false } : { ok: false, lacking: true };
      }),
    );

    return {
      state: (): CoreState => state,
      passed: (): CoreState | null => committed,
      isReady: (): boolean => whyNotReady() === null,
      fresh: (): boolean => syncedEpoch === hooks.view()?.epoch,
      backlog: (): number => queue.length,
      write: (command: Command): Promise<CommandResult> =>
        new Promise((done) => {
          const reason = whyNotReady();
          if (reason !== null) {
            done({ verdict: Verdicts.not('unready', reason, 1) });
            return;
          }
          if (queue.length >= 256) {
            done({ verdict: Verdicts.not('full', 'Too many commands wait.', 1) });
            return;
          }
          queue = [...queue, { command, reply: done }];
          void drainQueue();
        }),
      onViewChange(): void {
        committed = null;
        signalViewChange();
        viewChanged = new Promise<null>((done) => {
          signalViewChange = () => done(null);
        });
        const { seq, charter } = state;
        log.say(`Chain of view ${hooks.view()?.epoch ?? 0}; holding ${seq}, configuration ${charter?.version ?? 0}.`);
        void resyncChain();
      },
      /** A member below has lost its place, or holds nothing of this view yet. */
      resync(): void {
        if (readyEpoch !== 0) {
          readyEpoch = 0;
          void resyncChain();
        }
      },
    };
  },
};
/** A chain as its users see it. */
export type Chain = ReturnType<typeof Chain.make>;
