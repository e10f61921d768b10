import { Addr } from '@pumicebarrow/forms';
import { Type, type Static } from 'typebox';

/** The platform's list of servers. One that is not on it is gone. */
export const TownList = Type.Object(
  {
    servers: Type.Array(
      Type.Object(
        {
          id: Type.String({ minLength: 1 }),
          addr: Addr,
          site: Type.String(),
          born: Type.String(),
          mark: Type.Union([Type.Literal('serving'), Type.Literal('draining')]),
        },
        { additionalProperties: false },
      ),
    ),
  },
  { additionalProperties: false },
);
export type TownList = Static<typeof TownList>;
