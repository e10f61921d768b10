import { Check, type Doc } from '@pumicebarrow/forms';
import { RecordCheck } from '@pumicebarrow/registry';
import { ChangesBody } from './changesbody.js';
import { ListBody } from './listbody.js';

/** Whether a shared doc is what its name says: the registry's own, the platform's list, and changes of many servers. */
export const SharedSound = {
  doc(d: Doc): boolean {
    if (d.name === 'list') return Check.is(ListBody, d.body);
    if (d.name === 'changes') return Check.is(ChangesBody, d.body);
    return RecordCheck.doc(d);
  },
};
