import type { RecordStore } from '@pumicebarrow/purge';
import type { StageAssignment } from '@pumicebarrow/registry';
import type { StageChangesBody } from './stagechangesbody.js';
import type { Server } from './server.js';

/** Parsed batches by record body, so that each body is parsed once. */
const batchCache = new WeakMap<StageChangesBody, ReadonlyMap<string, 'prefill' | 'decode'>>();
const batchOf = (body: StageChangesBody): ReadonlyMap<string, 'prefill' | 'decode'> => {
  const cached = batchCache.get(body);
  if (cached) return cached;
  const parsed = new Map(body.rows);
  batchCache.set(body, parsed);
  return parsed;
};

/** Reads stage changes that the server list does not show yet from the stage assignments in the record store. */
export const StageChanges = {
  /** Servers that change together as one batch, with the stage each of them changes to. */
  batch(store: RecordStore): ReadonlyMap<string, 'prefill' | 'decode'> {
    const body = store.get('changes')?.body as StageChangesBody | undefined;
    return body ? batchOf(body) : new Map();
  },
  /**
   * Returns a predicate that is true for servers ordered to a stage that the list does not show yet, by the records
   * held now. Such a server must not be used by its old stage.
   */
  changingPredicate(store: RecordStore): (s: Server) => boolean {
    const batch = StageChanges.batch(store);
    return (server) => {
      const row = store.get(`row:${server.id}`)?.body as StageAssignment | undefined;
      if (row?.stage === 'draining' && row.part !== server.stage) return true;
      const nextStage = batch.get(server.id);
      return nextStage !== undefined && nextStage !== server.stage;
    };
  },
  isChanging: (store: RecordStore, server: Server): boolean => StageChanges.changingPredicate(store)(server),
};
