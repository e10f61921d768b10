import type { Log } from '@pumicebarrow/forms';
import type { Holding } from '@pumicebarrow/purge';
import type { SheetRow } from '@pumicebarrow/registry';
import type { Casting } from './casting.js';
import type { Shuns } from './shuns.js';
import type { Sights } from './sights.js';

type Tools = {
  log: Log;
  shelf: Holding;
  pump: () => void;
  casting: ReturnType<typeof Casting.make>;
  shuns: ReturnType<typeof Shuns.make>;
  sights: ReturnType<typeof Sights.make>;
};

/** What a daemon does about each version that comes to its shelf. */
export const Hearing = {
  make({ log, shelf, pump, casting, shuns, sights }: Tools): void {
    shelf.heed((doc, old) => {
      if (doc.name === 'charter') {
        log.say(`Charter ${doc.mark[0]} has taken hold.`);
        pump();
      }
      if (doc.name.startsWith('row:')) {
        const row = doc.body as SheetRow,
          was = old?.body as SheetRow | undefined;
        if (was && was.part !== row.part) casting.noted();
        if (row.stage === 'serving' && was?.stage !== 'serving') shuns.clear(row.server, row.born);
        pump();
      }
      if (doc.name.startsWith('sight:')) sights.heard(doc);
    });
  },
};
