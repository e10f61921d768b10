import type { Log } from '@pumicebarrow/forms';
import type { Holding } from '@pumicebarrow/purge';
import type { SheetRow } from '@pumicebarrow/registry';
import type { Casting } from './casting.js';
import type { Shuns } from './shuns.js';
import type { Sights } from './sights.js';

type Dependencies = {
  log: Log;
  recordStore: Holding;
  grantTurns: () => void;
  stageAssigner: ReturnType<typeof Casting.make>;
  ejections: ReturnType<typeof Shuns.make>;
  failureReports: ReturnType<typeof Sights.make>;
};

/** Reacts to each new version of a record in the local record store. */
export const RecordChangeHandler = {
  make({ log, recordStore, grantTurns, stageAssigner, ejections, failureReports }: Dependencies): void {
    recordStore.heed((doc, previous) => {
      if (doc.name === 'charter') {
        log.say(`Configuration version ${doc.mark[0]} is now in force.`);
        grantTurns();
      }
      if (doc.name.startsWith('row:')) {
        const row = doc.body as SheetRow,
          previousRow = previous?.body as SheetRow | undefined;
        if (previousRow && previousRow.part !== row.part) stageAssigner.noted();
        if (row.stage === 'serving' && previousRow?.stage !== 'serving') ejections.clear(row.server, row.born);
        grantTurns();
      }
      if (doc.name.startsWith('sight:')) failureReports.heard(doc);
    });
  },
};
