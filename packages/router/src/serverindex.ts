import type { Mark } from '@pumicebarrow/forms';
import type { Holding } from '@pumicebarrow/purge';
import type { ListBody } from './listbody.js';
import { ListRows } from './listrows.js';

type ListIndex = { mark: Mark; body: unknown; ids: readonly string[]; places: ReadonlyMap<string, number> };

/**
 * Maps servers to their places in the shared list, by which daemons that hold the same list refer to them. Invariant: a
 * place identifies a server only together with the version stamp of the list.
 */
export const ServerIndex = {
  make(store: Holding) {
    let cached: ListIndex | null = null;
    const current = (): ListIndex | null => {
      const doc = store.get('list');
      if (!doc) return null;
      if (cached?.body !== doc.body) {
        const ids = ListRows.open(doc.body as ListBody).map((s) => s.id);
        cached = { mark: doc.mark, body: doc.body, ids, places: new Map(ids.map((id, i) => [id, i])) };
      }
      return cached;
    };
    return { current: current };
  },
};
