import { Type, type Static } from 'typebox';

/** The name of the availability zone of a daemon or a server. */
export const Zone = Type.String({ minLength: 1, maxLength: 40 });
export type Zone = Static<typeof Zone>;
