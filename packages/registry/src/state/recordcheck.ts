import { Check, Clauses, type Doc } from '@pumicebarrow/forms';
import { CharterBody } from './charterbody.js';
import { Loan } from '../lending/loan.js';
import { Mix } from '../duties/mix.js';
import { SheetRow } from '../duties/sheetrow.js';
import { Sighting } from '../duties/sighting.js';

/** Whether a shared doc is what its name says. Nothing else is put on a shelf. */
export const RecordCheck = {
  doc(d: Doc): boolean {
    if (d.name === 'charter') {
      const got = Check.parse(CharterBody, d.body);
      return got.ok && got.val.version === d.mark[0] && Clauses.faults(got.val.charter).length === 0;
    }
    if (d.name === 'mix') return Check.is(Mix, d.body);
    const [kind, server] = d.name.split(':');
    const form = kind === 'row' ? SheetRow : kind === 'sight' ? Sighting : kind === 'loan' ? Loan : null;
    return form !== null && Check.is(form, d.body) && (d.body as { server: string }).server === server;
  },
};
