import { Type, type Static } from 'typebox';

/**
 * One daemon's report that a server stopped replying: the body of the shared document `sight:<server>`. `born` is the
 * server's incarnation, `by` the reporter.
 */
export const FailureReport = Type.Object(
  { server: Type.String(), born: Type.String(), by: Type.String() },
  { additionalProperties: false },
);
export type FailureReport = Static<typeof FailureReport>;
