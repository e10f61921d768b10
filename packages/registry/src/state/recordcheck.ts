import { Check, Clauses, type Doc } from '@pumicebarrow/forms';
import { CharterBody } from './charterbody.js';
import { Loan } from '../lending/loan.js';
import { Mix } from '../duties/mix.js';
import { SheetRow } from '../duties/sheetrow.js';
import { Sighting } from '../duties/sighting.js';

/** Checks that a shared document has the body that its name requires. Only such documents are stored. */
export const RecordCheck = {
  doc(doc: Doc): boolean {
    if (doc.name === 'charter') {
      const parsed = Check.parse(CharterBody, doc.body);
      return parsed.ok && parsed.val.version === doc.mark[0] && Clauses.faults(parsed.val.charter).length === 0;
    }
    if (doc.name === 'mix') return Check.is(Mix, doc.body);
    const [kind, server] = doc.name.split(':');
    const schema = kind === 'row' ? SheetRow : kind === 'sight' ? Sighting : kind === 'loan' ? Loan : null;
    return schema !== null && Check.is(schema, doc.body) && (doc.body as { server: string }).server === server;
  },
};
