import { Addr } from '@pumicebarrow/forms';
import { Type, type Static } from 'typebox';

/** The platform's list of model servers. A server that is not on it is gone. */
export const InventoryList = Type.Object(
  {
    servers: Type.Array(
      Type.Object(
        {
          id: Type.String({ minLength: 1 }),
          addr: Addr,
          /** Zone of the server. */
          site: Type.String(),
          /** Incarnation of the server. */
          born: Type.String(),
          /** Whether the server takes new requests. */
          mark: Type.Union([Type.Literal('serving'), Type.Literal('draining')]),
        },
        { additionalProperties: false },
      ),
    ),
  },
  { additionalProperties: false },
);
export type InventoryList = Static<typeof InventoryList>;
