import { Check, type Doc } from '@pumicebarrow/forms';
import { Sound } from '@pumicebarrow/registry';
import { ListBody } from './listbody.js';

/** Whether a shared doc is what its name says: the registry's own, and the platform's list. */
export const SharedSound = {
  doc: (d: Doc): boolean => (d.name === 'list' ? Check.is(ListBody, d.body) : Sound.doc(d)),
};
