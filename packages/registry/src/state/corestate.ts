import { Configuration } from '@pumicebarrow/forms';
import { Type, type Static } from 'typebox';
import { Burst } from '../lending/burst.js';
import { Plan } from './plan.js';

/**
 * The replicated state; each write produces a new immutable version. Invariants: `seq` rises by one with each write;
 * `charter.version` rises by one with each confirmed plan or replacement; a routing's revision only rises; a lease's
 * fence only rises. `charter` is the configuration in force, `claims` are the named leases.
 */
export const CoreState = Type.Object(
  {
    seq: Type.Integer({ minimum: 0 }),
    charter: Type.Union([
      Type.Null(),
      Type.Object(
        { version: Type.Integer({ minimum: 1 }), plan: Type.String(), body: Configuration },
        { additionalProperties: false },
      ),
    ]),
    plans: Type.Array(Plan),
    claims: Type.Record(
      Type.String(),
      Type.Object(
        { id: Type.String(), born: Type.String(), fence: Type.Integer({ minimum: 1 }) },
        { additionalProperties: false },
      ),
    ),
    bursts: Type.Optional(
      Type.Array(Burst, { description: 'in the order in which they began; absent while there is none' }),
    ),
  },
  { additionalProperties: false },
);
export type CoreState = Static<typeof CoreState>;
