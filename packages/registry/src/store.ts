import { Check, Err, Ok, type Disk, type Result, type World } from '@pumicebarrow/forms';
import { Type, type Static } from 'typebox';
import { Apply } from './apply.js';
import { CoreState } from './corestate.js';
import { View } from './view.js';
import { Vote } from './vote.js';

const Self = Type.Object({ born: Type.String() });
type Kept = { born: string | null; view: View | null; vote: Vote | null; state: CoreState; bad: boolean };

/**
 * What a core daemon has on disk. Invariant: each kind's file number only rises, whatever the version inside.
 * A daemon that finds any of its files damaged sets them all aside and is nobody it was before.
 */
export const Store = {
  make(world: World, disk: Disk) {
    const next = new Map<string, number>();
    const started = new Map<number, number>();
    let jobs = 0;
    const put = async (kind: string, v: unknown): Promise<Result<void, string>> => {
      const n = (next.get(kind) ?? 0) + 1, job = ++jobs;
      next.set(kind, n);
      started.set(job, world.clock.mono());
      const done = await disk.put(kind, n, v);
      started.delete(job);
      return done;
    };
    return {
      put,
      /** How long the longest write under way has taken. */
      stalled(): number {
        const at = Math.min(...started.values());
        return started.size === 0 ? 0 : world.clock.mono() - at;
      },
      async load(): Promise<Result<Kept, string>> {
        const out: Kept = { born: null, view: null, vote: null, state: Apply.empty, bad: false };
        for (const [kind, form] of [['self', Self], ['view', View], ['vote', Vote], ['state', CoreState]] as const) {
          const got = await disk.last(kind);
          if (got.err) return Err(got.val);
          if (got.val === null) continue;
          next.set(kind, got.val.n);
          const seen = Check.parse(form, got.val.v);
          if (got.val.bad || seen.err) { out.bad = true; continue; }
          if (kind === 'self') out.born = (seen.val as Static<typeof Self>).born;
          if (kind === 'view') out.view = seen.val as View;
          if (kind === 'vote') out.vote = seen.val as Vote;
          if (kind === 'state') out.state = seen.val as CoreState;
        }
        if (out.bad) {
          await disk.aside();
          return Ok({ born: null, view: null, vote: null, state: Apply.empty, bad: true });
        }
        return Ok(out);
      },
      wipe: () => disk.aside(),
    };
  },
};
