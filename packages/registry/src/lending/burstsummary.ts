import { Type, type Static } from 'typebox';
import type { Burst } from './burst.js';

const count = Type.Integer({ minimum: 0 });
const Form = Type.Object(
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

/** A burst in counts. */
export const BurstSummary = {
  schema: Form,
  of(b: Burst): Static<typeof Form> {
    const n = (state: string): number => b.generations.filter((g) => g.state === state).length;
    return {
      ...{ key: b.spec.key, rule: b.spec.rule, order: b.order, ended: b.ended, gone: b.gone },
      total: b.generations.length,
      ...{ waiting: n('waiting'), begun: n('begun'), ran: n('ran'), unsure: n('unsure'), dropped: n('dropped') },
    };
  },
};
