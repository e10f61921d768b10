import { Type, type Static } from 'typebox';

/**
 * How late a send may take hold: the life of the server it is meant for, and the time on that server's own clock
 * after which it is turned away, whoever wrote it and however long it lay in buffers.
 */
export const Bound = Type.Object({ born: Type.String(), by: Type.Number() }, { additionalProperties: false });
export type Bound = Static<typeof Bound>;
