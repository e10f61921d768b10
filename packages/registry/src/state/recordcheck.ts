import { SchemaCheck, ConfigurationValidator, type Doc } from '@pumicebarrow/forms';
import { ConfigurationBody } from './configurationbody.js';
import { Loan } from '../lending/loan.js';
import { PrefillTarget } from '../duties/prefilltarget.js';
import { StageAssignment } from '../duties/stageassignment.js';
import { FailureReport } from '../duties/failurereport.js';

/** Checks that a shared document has the body that its name requires. Only such documents are stored. */
export const RecordCheck = {
  isValid(doc: Doc): boolean {
    if (doc.name === 'charter') {
      const parsed = SchemaCheck.parse(ConfigurationBody, doc.body);
      return (
        parsed.ok &&
        parsed.val.version === doc.mark[0] &&
        ConfigurationValidator.faults(parsed.val.charter).length === 0
      );
    }
    if (doc.name === 'mix') return SchemaCheck.matches(PrefillTarget, doc.body);
    const [kind, server] = doc.name.split(':');
    const schema = kind === 'row' ? StageAssignment : kind === 'sight' ? FailureReport : kind === 'loan' ? Loan : null;
    return (
      schema !== null && SchemaCheck.matches(schema, doc.body) && (doc.body as { server: string }).server === server
    );
  },
};
