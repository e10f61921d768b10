import { Addr } from '@pumicebarrow/forms';
import { Type, type Static } from 'typebox';

/**
 * One control replica in a view. `id` and `born` (its incarnation) identify it; `addr` is only where it can be reached.
 */
export const Member = Type.Object(
  { id: Type.String(), born: Type.String(), addr: Addr },
  { additionalProperties: false },
);
export type Member = Static<typeof Member>;
