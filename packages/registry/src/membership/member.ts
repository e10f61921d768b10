import { Addr } from '@pumicebarrow/forms';
import { Type, type Static } from 'typebox';

/** One core daemon in a view. `id` with `born` is who it is; `addr` is only where it is met. */
export const Member = Type.Object(
  { id: Type.String(), born: Type.String(), addr: Addr },
  { additionalProperties: false },
);
export type Member = Static<typeof Member>;
