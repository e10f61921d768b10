import type { Mark } from '@pumicebarrow/forms';
import type { Holding } from '@pumicebarrow/purge';
import type { ListBody } from './listbody.js';
import { ListRows } from './listrows.js';

type Index = { mark: Mark; body: unknown; ids: readonly string[]; places: ReadonlyMap<string, number> };

/**
 * The places of servers in the shared list, by which they are named between daemons that hold the same one.
 * Invariant: a place means a server only together with the mark of the list.
 */
export const ServerIndex = {
  make(shelf: Holding) {
    let held: Index | null = null;
    const now = (): Index | null => {
      const doc = shelf.get('list');
      if (!doc) return null;
      if (held?.body !== doc.body) {
        const ids = ListRows.open(doc.body as ListBody).map((s) => s.id);
        held = { mark: doc.mark, body: doc.body, ids, places: new Map(ids.map((id, i) => [id, i])) };
      }
      return held;
    };
    return { now };
  },
};
