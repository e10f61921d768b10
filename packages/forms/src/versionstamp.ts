import { Type, type Static } from 'typebox';

/**
 * The version stamp of one version of one shared record: (fencing token, step).
 * Invariant: for one record, a newer version has the greater pair; stamps never depend on a clock.
 */
export const VersionStamp = Type.Tuple([Type.Integer({ minimum: 0 }), Type.Integer({ minimum: 0 })]);
export type VersionStamp = Static<typeof VersionStamp>;
