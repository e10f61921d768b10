import { Timer, Verdicts, type Ident, type Messenger, type World } from '@pumicebarrow/forms';
import { Batch } from './batch.js';
import { ChainRules } from './chainrules.js';
import type { Command } from './command.js';
import type { CoreState } from '../state/corestate.js';
import { StateChanges } from '../state/statechanges.js';
import { StateDigest } from '../state/statedigest.js';
import { StateTransfer } from './statetransfer.js';
import { CoreMessages } from '../service/coremessages.js';
import type { Member } from '../membership/member.js';
import type { CommandResult } from './commandresult.js';
import type { CoreStore } from '../state/corestore.js';
import type { View } from '../consensus/view.js';
import { Views } from '../consensus/views.js';

type PendingCommand = { command: Command; reply: (r: CommandResult) => void };
/** What the chain needs from the replica that it runs in. */
type Hooks = {
  view: () => View | null;
  holdsLease: () => boolean;
  me: () => Member;
  onDiskFault: (why: string) => void;
  onCommitted: (s: CoreState) => void;
};

/**
 * One member of the replication chain. Commands enter at the head; each member syncs a version to disk before
 * forwarding it; the tail answers reads. Invariants: whatever a member holds, every member before it in the chain held
 * first; `committed` is known to be held by every chain member of the view in force, and is null until the head has
 * sent its version down the chain in that view; a command is refused with 'no' only if no version containing its effect
 * was ever started.
 */
export const Chain = {
  make(world: World, post: Messenger, store: CoreStore, restored: CoreState, hooks: Hooks) {
    let state = restored;
    let committed: CoreState | null = null;
    let syncedEpoch = 0;
    let readyEpoch = 0;
    let draining = false;
    let queue: PendingCommand[] = [];
    let lastOperation: Promise<unknown> = Promise.resolve();
    let signalViewChange: () => void = () => undefined;
    let viewChanged = new Promise<null>((resolve) => {
      signalViewChange = () => resolve(null);
    });
    const changes = StateChanges.make();
    const stateTransfer = StateTransfer.make(post, changes);
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
    /** Forwards the version to the rest of the chain; true once the tail holds it. */
    const forward = async (view: View, newState: CoreState): Promise<boolean> => {
      const position = Views.positionOf(view, hooks.me()),
        next = view.chain[position + 1];
      if (position < 0) return false;
      if (next) {
        const delivered = await Promise.race([viewChanged, stateTransfer.send(next, view.epoch, newState)]);
        if (!delivered) return false;
      }
      if (hooks.view()?.epoch !== view.epoch) return false;
      // With too few replicas the version could still be lost, so it is neither shown to readers nor confirmed to
      // callers.
      if (ChainRules.canCommit(view)) commit(newState);
      return true;
    };
    const isHead = (view: View | null): view is View => !!view && Views.sameMember(Views.head(view), hooks.me());
    const whyNotReady = (): string | null => {
      const view = hooks.view();
      if (!isHead(view)) return 'This daemon is not the head.';
      if (!hooks.holdsLease()) return 'The core has no live lease on its view.';
      if (readyEpoch !== view.epoch) return 'The chain is being mended.';
      if (!ChainRules.canCommit(view)) return 'The chain has too few copies.';
      return null;
    };
    const recordWriteStart = (next: CoreState): void =>
      world.recordEvent({
        what: 'write',
        seq: next.seq,
        version: next.charter?.version ?? 0,
        plan: next.charter?.plan ?? '',
      });
    /** Applies a batch of commands as one version and sends it down the chain. */
    const processBatch = async (batch: readonly PendingCommand[]): Promise<void> => {
      const reason = whyNotReady(),
        view = hooks.view();
      if (reason !== null || !view) {
        Batch.refuse(batch, reason ?? 'No view.');
        return;
      }
      const { next, ruled } = Batch.apply(state, batch);
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
    /** After a view change or a failed write, the head sends its whole state down the chain until the tail holds it. */
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
        if (readyEpoch !== view.epoch) await Timer.sleep(world.clock, 200);
      }
    };

    /** Accepts a version from the predecessor and forwards it; false unless the tail holds it. */
    const receive = async (epoch: number, from: Ident, next: CoreState): Promise<boolean> => {
      const view = hooks.view();
      const held = { fresh: syncedEpoch, seq: state.seq };
      if (!view || !ChainRules.acceptsState(view, hooks.me(), from, epoch, held, next.seq)) return false;
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
      /** The newest version on this member's disk, committed or not. */
      state: (): CoreState => state,
      /** The newest committed version; null until one is known in the view in force. */
      committed: (): CoreState | null => committed,
      /** Whether this member is a head that can accept commands now. */
      isReady: (): boolean => whyNotReady() === null,
      /** Whether this member has received the head's state in the view in force. */
      fresh: (): boolean => syncedEpoch === hooks.view()?.epoch,
      /** Commands that are waiting to be applied. */
      backlog: (): number => queue.length,
      /** Queues a command; resolves once its version is committed or has failed. */
      write: (command: Command): Promise<CommandResult> =>
        new Promise((resolve) => {
          const reason = whyNotReady();
          if (reason !== null) {
            resolve({ verdict: Verdicts.notRun('unready', reason, 1) });
            return;
          }
          if (queue.length >= 256) {
            resolve({ verdict: Verdicts.notRun('full', 'Too many commands wait.', 1) });
            return;
          }
          queue = [...queue, { command, reply: resolve }];
          void drainQueue();
        }),
      /** Ends transfers of the old view and forgets what was committed; a new head then resynchronizes the chain. */
      onViewChange(): void {
        committed = null;
        signalViewChange();
        viewChanged = new Promise<null>((resolve) => {
          signalViewChange = () => resolve(null);
        });
        const { seq, charter } = state;
        log.info(
          `Entered view ${hooks.view()?.epoch ?? 0} holding state ${seq}, configuration ${charter?.version ?? 0}.`,
        );
        void resyncChain();
      },
      /** Resynchronizes the chain if a member further down lost its place or holds no state of this view yet. */
      resync(): void {
        if (readyEpoch !== 0) {
          readyEpoch = 0;
          void resyncChain();
        }
      },
    };
  },
};
/** A chain member as its callers see it. */
export type Chain = ReturnType<typeof Chain.make>;
