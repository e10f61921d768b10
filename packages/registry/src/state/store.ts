import { Check, Err, Ok, type Disk, type Result, type World } from '@pumicebarrow/forms';
import { Type, type Static } from 'typebox';
import { Apply } from './apply.js';
import { CoreState } from './corestate.js';
import { View } from '../consensus/view.js';
import { Vote } from '../consensus/vote.js';

const Self = Type.Object({ born: Type.String(), whole: Type.Optional(Type.Boolean()) });
const FORMS = [
  ['self', Self],
  ['view', Type.Union([View, Type.Null()])],
  ['vote', Type.Union([Vote, Type.Null()])],
  ['state', CoreState],
] as const;
type Kept = { born: string | null; view: View | null; vote: Vote | null; state: CoreState; bad: boolean };

/** Whether a kind is missing. Folders of the release before this one did not begin with a file of each. */
const short = (self: Static<typeof Self> | undefined, got: ReadonlyMap<string, unknown>): boolean =>
  self ? self.whole === true && got.size < FORMS.length : got.size > 0;

/**
 * What a core daemon has on disk. Invariants: each kind's file number only rises, whatever the version inside;
 * `self` is written last, once there is a file of every other kind. So a daemon that finds a file damaged, or one
 * of a kind missing, has lost something that it may have said: it sets all aside and is nobody it was before.
 */
export const Store = {
  make(world: World, disk: Disk) {
    const next = new Map<string, number>();
    const started = new Map<number, number>();
    let jobs = 0;
    const put = async (kind: string, v: unknown): Promise<Result<void, string>> => {
      const n = (next.get(kind) ?? 0) + 1,
        job = ++jobs;
      next.set(kind, n);
      const from = world.clock.mono();
      started.set(job, from);
      const done = await disk.put(kind, n, v);
      started.delete(job);
      world.tell({ what: 'stored', kind, ms: world.clock.mono() - from, done: done.ok });
      return done;
    };
    return {
      put,
      /** How long the longest write under way has taken. */
      longestPendingWriteMs(): number {
        const at = Math.min(...started.values());
        return started.size === 0 ? 0 : world.clock.mono() - at;
      },
      /** Reads what is kept; sets it all aside unless it is whole. */
      async load(): Promise<Result<Kept, string>> {
        const got = new Map<string, unknown>();
        let bad = false;
        for (const [kind, form] of FORMS) {
          const file = await disk.last(kind);
          if (file.err) return Err(file.val);
          if (file.val === null) continue;
          next.set(kind, file.val.n);
          const seen = Check.parse(form, file.val.v);
          if (file.val.bad || seen.err) bad = true;
          else got.set(kind, seen.val);
        }
        const self = got.get('self') as Static<typeof Self> | undefined;
        if (bad || short(self, got)) {
          const done = await disk.aside();
          return done.err ? Err(done.val) : Ok({ born: null, view: null, vote: null, state: Apply.empty, bad: true });
        }
        return Ok({
          born: self?.born ?? null,
          view: (got.get('view') as View | null | undefined) ?? null,
          vote: (got.get('vote') as Vote | null | undefined) ?? null,
          state: (got.get('state') as CoreState | undefined) ?? Apply.empty,
          bad: false,
        });
      },
      /** Says who this daemon is. Invariant: not before there is a file of every other kind. */
      async saveIdentity(born: string, fresh: boolean): Promise<Result<void, string>> {
        for (const [kind, v] of fresh
          ? ([
              ['view', null],
              ['vote', null],
              ['state', Apply.empty],
            ] as const)
          : []) {
          const done = await put(kind, v);
          if (done.err) return done;
        }
        return put('self', { born, whole: true });
      },
    };
  },
};
/** A store as its users see it. */
export type Store = ReturnType<typeof Store.make>;
