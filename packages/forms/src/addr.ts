import { Type, type Static } from 'typebox';

/** An IP number and a port. Never a host name, never an identity. */
export const Addr = Type.String({ pattern: '^(\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+\\]):\\d{1,5}$' });
export type Addr = Static<typeof Addr>;
