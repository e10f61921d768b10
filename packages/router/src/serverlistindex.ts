import type { VersionStamp } from '@pumicebarrow/forms';
import type { RecordStore } from '@pumicebarrow/purge';
import type { ServerListBody } from './serverlistbody.js';
import { ServerListRows } from './serverlistrows.js';

type ListIndex = { mark: VersionStamp; body: unknown; ids: readonly string[]; places: ReadonlyMap<string, number> };

/**
 * Maps servers to their places in the shared list, by which daemons that hold the same list refer to them. Invariant: a
 * place identifies a server only together with the version stamp of the list.
 */
export const ServerListIndex = {
  make(store: RecordStore) {
    let cached: ListIndex | null = null;
    const current = (): ListIndex | null => {
      const doc = store.get('list');
      if (!doc) return null;
      if (cached?.body !== doc.body) {
        const ids = ServerListRows.unpack(doc.body as ServerListBody).map((s) => s.id);
        cached = { mark: doc.mark, body: doc.body, ids, places: new Map(ids.map((id, i) => [id, i])) };
      }
      return cached;
    };
    return { current };
  },
};
