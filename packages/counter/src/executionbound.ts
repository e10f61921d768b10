import { Type, type Static } from 'typebox';

/**
 * Limits when a server may start to execute a request: only in the named incarnation of the server, and only up to a
 * time on that server's own clock. The server rejects it afterwards, whoever sent it and however long it was buffered.
 */
export const ExecutionBound = Type.Object(
  {
    /** Incarnation of the server. */
    born: Type.String(),
    /** Latest start, in ms on the server's clock. */
    by: Type.Number(),
  },
  { additionalProperties: false },
);
export type ExecutionBound = Static<typeof ExecutionBound>;
