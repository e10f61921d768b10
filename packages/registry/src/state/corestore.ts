import { SchemaCheck, Err, Ok, type Disk, type Result, type World } from '@pumicebarrow/forms';
import { Type, type Static } from 'typebox';
import { CoreStateMachine } from './corestatemachine.js';
import { CoreState } from './corestate.js';
import { View } from '../consensus/view.js';
import { Vote } from '../consensus/vote.js';

/** `runs` counts the starts of the daemon that keeps this identity, the present one included. */
const IdentitySchema = Type.Object({
  born: Type.String(),
  whole: Type.Optional(Type.Boolean()),
  runs: Type.Optional(Type.Integer({ minimum: 0 })),
});
type Identity = Static<typeof IdentitySchema>;
/** A folder of the previous release has no count, but one run at the least. */
const earlierRuns = (identity: Identity | null): number => (identity ? (identity.runs ?? 1) : 0);
const SCHEMAS = [
  ['self', IdentitySchema],
  ['view', Type.Union([View, Type.Null()])],
  ['vote', Type.Union([Vote, Type.Null()])],
  ['state', CoreState],
] as const;
type Restored = { born: string | null; view: View | null; vote: Vote | null; state: CoreState; bad: boolean };

/** Whether a file kind is missing. Data folders of the previous release did not start with one file of each kind. */
const isIncomplete = (self: Identity | undefined, loaded: ReadonlyMap<string, unknown>): boolean =>
  self ? self.whole === true && loaded.size < SCHEMAS.length : loaded.size > 0;

/**
 * The files of a control replica. Invariants: the file number of each kind only rises, whatever the version inside;
 * `self` is written last, once a file of every other kind exists. So a daemon that finds a damaged or missing file has
 * lost something that it may have told others: it sets all files aside and starts with a new incarnation. No two runs
 * of an incarnation have the same run number, and none uses its number before it is on disk.
 */
export const CoreStore = {
  make(world: World, disk: Disk) {
    const fileNumbers = new Map<string, number>();
    const pendingWrites = new Map<number, number>();
    let writeCount = 0;
    /** The identity on disk at the start, if any. */
    let restoredIdentity: Identity | null = null;
    let recordedRun: number | null = null;
    const put = async (kind: string, value: unknown): Promise<Result<void, string>> => {
      const fileNumber = (fileNumbers.get(kind) ?? 0) + 1,
        writeId = ++writeCount;
      fileNumbers.set(kind, fileNumber);
      const startedAt = world.clock.mono();
      pendingWrites.set(writeId, startedAt);
      const result = await disk.put(kind, fileNumber, value);
      pendingWrites.delete(writeId);
      world.recordEvent({ what: 'stored', kind, ms: world.clock.mono() - startedAt, done: result.ok });
      return result;
    };
    const saveSelf = async (identity: Identity): Promise<Result<void, string>> => {
      const runs = earlierRuns(restoredIdentity) + 1;
      const result = await put('self', { ...identity, runs });
      if (result.ok) recordedRun = runs;
      return result;
    };
    return {
      put,
      /** The number of this run among those of its incarnation, from 1; null until it is on disk. */
      runNumber: (): number | null => recordedRun,
      /** Records the number of this run. Does nothing for an incarnation that is new and not yet saved. */
      async recordRun(): Promise<Result<void, string>> {
        return restoredIdentity && recordedRun === null ? saveSelf(restoredIdentity) : Ok(undefined);
      },
      /** How long the oldest pending write has taken, in ms. */
      longestPendingWriteMs(): number {
        const oldestStart = Math.min(...pendingWrites.values());
        return pendingWrites.size === 0 ? 0 : world.clock.mono() - oldestStart;
      },
      /** Loads all files; sets them all aside if any is damaged or missing. */
      async load(): Promise<Result<Restored, string>> {
        const loaded = new Map<string, unknown>();
        let bad = false;
        for (const [kind, schema] of SCHEMAS) {
          const file = await disk.latest(kind);
          if (file.err) return Err(file.val);
          if (file.val === null) continue;
          fileNumbers.set(kind, file.val.n);
          const parsed = SchemaCheck.parse(schema, file.val.v);
          if (file.val.bad || parsed.err) bad = true;
          else loaded.set(kind, parsed.val);
        }
        const self = loaded.get('self') as Identity | undefined;
        if (bad || isIncomplete(self, loaded)) {
          const result = await disk.setAside();
          return result.err
            ? Err(result.val)
            : Ok({ born: null, view: null, vote: null, state: CoreStateMachine.emptyState, bad: true });
        }
        restoredIdentity = self ?? null;
        return Ok({
          born: self?.born ?? null,
          view: (loaded.get('view') as View | null | undefined) ?? null,
          vote: (loaded.get('vote') as Vote | null | undefined) ?? null,
          state: (loaded.get('state') as CoreState | undefined) ?? CoreStateMachine.emptyState,
          bad: false,
        });
      },
      /**
       * Records the identity of this daemon. Invariant: called only once a file of every other kind exists, or with
       * `isNew`, which writes those first.
       */
      async saveIdentity(incarnation: string, isNew: boolean): Promise<Result<void, string>> {
        for (const [kind, value] of isNew
          ? ([
              ['view', null],
              ['vote', null],
              ['state', CoreStateMachine.emptyState],
            ] as const)
          : []) {
          const result = await put(kind, value);
          if (result.err) return result;
        }
        return saveSelf({ born: incarnation, whole: true });
      },
    };
  },
};
/** A store as its callers see it. */
export type CoreStore = ReturnType<typeof CoreStore.make>;
