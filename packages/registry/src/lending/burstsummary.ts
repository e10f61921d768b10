import { Type, type Static } from 'typebox';
import type { Burst } from './burst.js';

const count = Type.Integer({ minimum: 0 });
const Schema = Type.Object(
  {
    key: Type.String(),
    rule: Type.String(),
    order: Type.Integer(),
    ended: Type.Boolean(),
    gone: Type.Boolean(),
    total: count,
    waiting: count,
    begun: count,
    ran: count,
    unsure: count,
    dropped: count,
  },
  { additionalProperties: false },
);

/** A burst as counts of its generations by state. */
export const BurstSummary = {
  schema: Schema,
  of(burst: Burst): Static<typeof Schema> {
    const countOf = (state: string): number => burst.generations.filter((g) => g.state === state).length;
    return {
      ...{ key: burst.spec.key, rule: burst.spec.rule, order: burst.order, ended: burst.ended, gone: burst.gone },
      total: burst.generations.length,
      ...{
        waiting: countOf('waiting'),
        begun: countOf('begun'),
        ran: countOf('ran'),
        unsure: countOf('unsure'),
        dropped: countOf('dropped'),
      },
    };
  },
};
