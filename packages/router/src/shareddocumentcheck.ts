import { SchemaCheck, type Doc } from '@pumicebarrow/forms';
import { RecordCheck } from '@pumicebarrow/registry';
import { StageChangesBody } from './stagechangesbody.js';
import { ServerListBody } from './serverlistbody.js';

/** Validates shared records by name: the server list, the batch of stage changes, and the registry's own records. */
export const SharedDocumentCheck = {
  isValid(d: Doc): boolean {
    if (d.name === 'list') return SchemaCheck.matches(ServerListBody, d.body);
    if (d.name === 'changes') return SchemaCheck.matches(StageChangesBody, d.body);
    return RecordCheck.isValid(d);
  },
};
