import type { Log } from '@pumicebarrow/forms';
import type { RecordStore } from '@pumicebarrow/purge';
import type { StageAssignment } from '@pumicebarrow/registry';
import type { StageAssigner } from './stageassigner.js';
import type { Ejections } from './ejections.js';
import type { FailureReports } from './failurereports.js';

type Dependencies = {
  log: Log;
  recordStore: RecordStore;
  grantTurns: () => void;
  stageAssigner: ReturnType<typeof StageAssigner.make>;
  ejections: ReturnType<typeof Ejections.make>;
  failureReports: ReturnType<typeof FailureReports.make>;
};

/** Reacts to each new version of a record in the local record store. */
export const RecordChangeHandler = {
  make({ log, recordStore, grantTurns, stageAssigner, ejections, failureReports }: Dependencies): void {
    recordStore.onChange((doc, previous) => {
      if (doc.name === 'charter') {
        log.info(`Configuration version ${doc.mark[0]} is now in force.`);
        grantTurns();
      }
      if (doc.name.startsWith('row:')) {
        const row = doc.body as StageAssignment,
          previousRow = previous?.body as StageAssignment | undefined;
        if (previousRow && previousRow.part !== row.part) stageAssigner.onStageChange();
        if (row.stage === 'serving' && previousRow?.stage !== 'serving') ejections.clear(row.server, row.born);
        grantTurns();
      }
      if (doc.name.startsWith('sight:')) failureReports.receive(doc);
    });
  },
};
