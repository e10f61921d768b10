import { Check, type Doc } from '@pumicebarrow/forms';
import { RecordCheck } from '@pumicebarrow/registry';
import { ChangesBody } from './changesbody.js';
import { ListBody } from './listbody.js';

/** Validates shared records by name: the server list, the batch of stage changes, and the registry's own records. */
export const SharedSound = {
  doc(d: Doc): boolean {
    if (d.name === 'list') return Check.is(ListBody, d.body);
    if (d.name === 'changes') return Check.is(ChangesBody, d.body);
    return RecordCheck.doc(d);
  },
};
