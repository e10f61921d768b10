import { Configuration } from '@pumicebarrow/forms';
import { DocDelta } from '@pumicebarrow/purge';
import { Type, type Static } from 'typebox';
import { Burst } from '../lending/burst.js';
import { CoreState } from './corestate.js';
import { Plan } from './plan.js';

const strict = { additionalProperties: false } as const;
const versionKeys = { seq: Type.Integer({ minimum: 0 }), digest: Type.String() };

/**
 * The change from one version of the replicated state to another. Invariant: it applies only to the version named by
 * `base`, and the outcome must have the digest in `result`.
 */
export const StateChange = Type.Object(
  {
    base: Type.Object(versionKeys, strict),
    result: Type.Object(versionKeys, strict),
    charter: Type.Optional(
      Type.Union([
        Type.Null(),
        Type.Object({ version: Type.Integer({ minimum: 1 }), plan: Type.String(), body: Configuration }, strict),
        Type.Object({ version: Type.Integer({ minimum: 1 }), plan: Type.String(), part: DocDelta }, strict),
      ]),
    ),
    forgotten: Type.Array(Type.String(), { description: 'plans of the base that were dropped or have moved' }),
    plans: Type.Array(Plan, { description: 'plans that follow the retained ones' }),
    claims: CoreState.properties.claims,
    bursts: Type.Optional(Type.Array(Burst)),
  },
  strict,
);
export type StateChange = Static<typeof StateChange>;
