import type { Messenger } from '@pumicebarrow/forms';
import type { Member } from '../membership/member.js';
import { CoreTimings } from '../coretimings.js';
import { CoreMessages } from '../service/coremessages.js';
import type { CoreState } from '../state/corestate.js';
import type { StateChanges } from '../state/statechanges.js';

type AcknowledgedState = { member: string; state: CoreState };

/**
 * Sends versions of the state to the next chain member: as a change against the version that it holds, or whole if it
 * lacks that version. Invariant: `send` returns true only after the member has confirmed that it holds the version.
 */
export const StateTransfer = {
  make(post: Messenger, changes: StateChanges) {
    /** The version that the successor last confirmed. */
    let acknowledged: AcknowledgedState | null = null;
    const sendWhole = async (successor: Member, epoch: number, state: CoreState): Promise<boolean> => {
      const reply = await post.ask(
        ...([
          successor.addr,
          successor.id,
          'core.push' as const,
          { epoch, state },
          CoreMessages.acknowledgement,
          CoreTimings.stateTransferTimeoutMs,
        ] as const),
      );
      return reply.ok && reply.val.ok;
    };
    /**
     * Null if the state must be sent whole: the member lacks the base version, or its release does not support changes.
     */
    const sendChange = async (
      successor: Member,
      epoch: number,
      base: CoreState,
      state: CoreState,
    ): Promise<boolean | null> => {
      const change = changes.between(base, state);
      const reply = await post.ask(
        ...([
          successor.addr,
          successor.id,
          'core.change' as const,
          { epoch, change },
          CoreMessages.changeReply,
          CoreTimings.stateTransferTimeoutMs,
        ] as const),
      );
      if (reply.err) return reply.val === 'wrong' ? null : false;
      return reply.val.lacking ? null : reply.val.ok;
    };
    return {
      async send(successor: Member, epoch: number, state: CoreState): Promise<boolean> {
        const memberKey = `${successor.id}/${successor.born}`;
        // After a view change the successor most likely holds the same version as this member.
        const base = acknowledged?.member === memberKey ? acknowledged.state : state;
        acknowledged = null;
        const ok = (await sendChange(successor, epoch, base, state)) ?? (await sendWhole(successor, epoch, state));
        if (ok) acknowledged = { member: memberKey, state };
        return ok;
      },
    };
  },
};
