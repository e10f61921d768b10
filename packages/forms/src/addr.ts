import { Type, type Static } from 'typebox';

/** An IP address and a port, never a host name. An address does not identify a daemon. */
export const Addr = Type.String({ pattern: '^(\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+\\]):\\d{1,5}$' });
export type Addr = Static<typeof Addr>;
