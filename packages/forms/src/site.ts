import { Type, type Static } from 'typebox';

/** The name of one site: the place a daemon or a server stands in. */
export const Site = Type.String({ minLength: 1, maxLength: 40 });
export type Site = Static<typeof Site>;
