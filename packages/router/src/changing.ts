import type { Holding } from '@pumicebarrow/purge';
import type { SheetRow } from '@pumicebarrow/registry';
import type { ChangesBody } from './changesbody.js';
import type { Server } from './server.js';

/** Parsed batches by record body, so that each body is parsed once. */
const batchCache = new WeakMap<ChangesBody, ReadonlyMap<string, 'prefill' | 'decode'>>();
const batchOf = (body: ChangesBody): ReadonlyMap<string, 'prefill' | 'decode'> => {
  const cached = batchCache.get(body);
  if (cached) return cached;
  const parsed = new Map(body.rows);
  batchCache.set(body, parsed);
  return parsed;
};

/** Reads stage changes that the server list does not show yet from the stage assignments in the record store. */
export const Changing = {
  /** Servers that change together as one batch, with the stage each of them changes to. */
  batch(store: Holding): ReadonlyMap<string, 'prefill' | 'decode'> {
    const body = store.get('changes')?.body as ChangesBody | undefined;
    return body ? batchOf(body) : new Map();
  },
  /**
   * Returns a predicate that is true for servers ordered to a stage that the list does not show yet, by the records
   * held now. Such a server must not be used by its old stage.
   */
  now(store: Holding): (s: Server) => boolean {
    const batch = Changing.batch(store);
    return (server) => {
      const row = store.get(`row:${server.id}`)?.body as SheetRow | undefined;
      if (row?.stage === 'draining' && row.part !== server.stage) return true;
      const nextStage = batch.get(server.id);
      return nextStage !== undefined && nextStage !== server.stage;
    };
  },
  isChanging: (store: Holding, server: Server): boolean => Changing.now(store)(server),
};
