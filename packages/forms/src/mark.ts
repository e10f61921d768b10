import { Type, type Static } from 'typebox';

/**
 * The order stamp of one version of one piece of shared state: (fence, step).
 * Invariant: for one name, a newer version has the greater pair; a clock never enters into it.
 */
export const Mark = Type.Tuple([Type.Integer({ minimum: 0 }), Type.Integer({ minimum: 0 })]);
export type Mark = Static<typeof Mark>;
