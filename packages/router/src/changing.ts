import type { Holding } from '@pumicebarrow/purge';
import type { SheetRow } from '@pumicebarrow/registry';
import type { Server } from './server.js';

/** What the casting sheet says beside the list. */
export const Changing = {
  /** A server that was ordered to a stage which the list does not show yet takes nothing by its old one. */
  of(shelf: Holding, s: Server): boolean {
    const row = shelf.get(`row:${s.id}`)?.body as SheetRow | undefined;
    return row?.stage === 'draining' && row.part !== s.stage;
  },
};
