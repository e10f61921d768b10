import { Type, type Static } from 'typebox';

/** The name of one zone: the place a daemon or a server stands in. */
export const Zone = Type.String({ minLength: 1, maxLength: 40 });
export type Zone = Static<typeof Zone>;
