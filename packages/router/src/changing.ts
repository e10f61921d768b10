import type { Holding } from '@pumicebarrow/purge';
import type { SheetRow } from '@pumicebarrow/registry';
import type { ChangesBody } from './changesbody.js';
import type { Server } from './server.js';

const opened = new WeakMap<ChangesBody, ReadonlyMap<string, 'prefill' | 'decode'>>();
const rows = (body: ChangesBody): ReadonlyMap<string, 'prefill' | 'decode'> => {
  const old = opened.get(body);
  if (old) return old;
  const made = new Map(body.rows);
  opened.set(body, made);
  return made;
};

/** What the casting sheet says beside the list. */
export const Changing = {
  /** Those that change together, and to which stage. */
  together(shelf: Holding): ReadonlyMap<string, 'prefill' | 'decode'> {
    const body = shelf.get('changes')?.body as ChangesBody | undefined;
    return body ? rows(body) : new Map();
  },
  /** One that was ordered to a stage which the list does not show yet takes nothing by its old one; as told now. */
  now(shelf: Holding): (s: Server) => boolean {
    const together = Changing.together(shelf);
    return (s) => {
      const row = shelf.get(`row:${s.id}`)?.body as SheetRow | undefined;
      if (row?.stage === 'draining' && row.part !== s.stage) return true;
      const part = together.get(s.id);
      return part !== undefined && part !== s.stage;
    };
  },
  of: (shelf: Holding, s: Server): boolean => Changing.now(shelf)(s),
};
